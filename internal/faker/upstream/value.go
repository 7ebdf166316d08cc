package upstream

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

type kind uint8

const (
	kindNull kind = iota
	kindText
	kindInt
)

// value is one cell: its text form and how it is reported to the client.
type value struct {
	kind kind
	text string
}

func textValue(s string) value { return value{kind: kindText, text: s} }

func intValue(n int64) value { return value{kind: kindInt, text: strconv.FormatInt(n, 10)} }

// equal is SQL's = with NULL taken as false.
func (v value) equal(o value) bool {
	return v.kind != kindNull && o.kind != kindNull && v.text == o.text
}

// encode returns the wire form in the format asked for; nil is NULL. Texts have
// the same bytes in both formats.
func (v value) encode(format int16, oid uint32) []byte {
	if v.kind == kindNull {
		return nil
	}
	if format == pgtype.TextFormatCode || oid != pgtype.Int8OID {
		return []byte(v.text)
	}
	n, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil {
		return []byte(v.text)
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// decodeParam reads a parameter from the wire.
func decodeParam(raw []byte, format int16, oid uint32) value {
	if raw == nil {
		return value{}
	}
	if format == pgtype.BinaryFormatCode {
		switch oid {
		case pgtype.Int8OID:
			if len(raw) == 8 {
				return intValue(int64(binary.BigEndian.Uint64(raw)))
			}
		case pgtype.Int4OID:
			if len(raw) == 4 {
				return intValue(int64(int32(binary.BigEndian.Uint32(raw))))
			}
		case pgtype.Int2OID:
			if len(raw) == 2 {
				return intValue(int64(int16(binary.BigEndian.Uint16(raw))))
			}
		}
	}
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		return value{kind: kindInt, text: string(raw)}
	default:
		return textValue(string(raw))
	}
}

type column struct {
	name string
	kind kind
}

func (c column) oid() uint32 {
	if c.kind == kindInt {
		return pgtype.Int8OID
	}
	return pgtype.TextOID
}

// row is immutable: a changed row is a new row, so that two pointers tell
// whether anybody has changed it in between.
type row struct {
	cells []value
}

func (r *row) at(i int) value {
	if i < 0 || i >= len(r.cells) {
		return value{}
	}
	return r.cells[i]
}

// table keeps its rows by the text of their first column.
type table struct {
	columns []column
	rows    map[string]*row
}

// sqlError becomes an ErrorResponse.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

// SQLSTATEs of the stand-in.
const (
	codeStaleTerm    = "BD001"
	codeWrongTerm    = "BD002"
	codeSettled      = "BD003"
	codeReadOnly     = "25006"
	codeAborted      = "25P02"
	codeUnique       = "23505"
	codeConflict     = "40001"
	codeSyntax       = "42601"
	codeUndefined    = "42703"
	codeNoTable      = "42P01"
	codeNoStatement  = "26000"
	codeNoPortal     = "34000"
	codeUnsupported  = "0A000"
	codeCancelled    = "57014"
	codeConnections  = "53300"
	codePassword     = "28P01"
	codeBadParameter = "22023"
)

func fail(code, message string) error { return &sqlError{code: code, message: message} }
