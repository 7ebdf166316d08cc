package upstream

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// prepared is a parsed statement with the types of its parameters.
type prepared struct {
	sql    string
	stmt   statement
	params []uint32
}

// portal is a bound statement; done counts the rows sent already.
type portal struct {
	prepared *prepared
	values   []value
	formats  []int16
	result   *result
	done     int
}

// extended sends the error of a step, after which messages up to Sync are
// skipped; false when the connection is to be dropped.
func (s *session) extended(err error) bool {
	if err == nil {
		return true
	}
	if errors.Is(err, errHangup) {
		return false
	}
	s.spoil()
	s.skipping = true
	if s.implicit {
		_ = s.end(false)
	}
	s.sendError(err)
	return s.flush()
}

// sync ends an implicit transaction. Portals live as long as their transaction.
func (s *session) sync() bool {
	s.skipping = false
	if s.state == stateIdle {
		clear(s.portals)
	}
	return s.finish(nil)
}

func (s *session) prepare(msg *pgproto3.Parse) error {
	s.observe(msg.Query)
	list, err := parse(msg.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return fail(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if msg.Name != "" && s.stmts[msg.Name] != nil {
		return fail("42P05", "prepared statement \""+msg.Name+"\" already exists")
	}
	p := &prepared{sql: msg.Query, stmt: emptyStmt{}}
	if len(list) == 1 {
		p.stmt = list[0]
	}
	p.params = s.paramTypes(p.stmt)
	for i, oid := range msg.ParameterOIDs {
		if oid != 0 && i < len(p.params) {
			p.params[i] = oid
		}
	}
	s.stmts[msg.Name] = p
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(msg *pgproto3.Bind) error {
	p := s.stmts[msg.PreparedStatement]
	if p == nil {
		return fail(codeNoStatement, "prepared statement \""+msg.PreparedStatement+"\" does not exist")
	}
	if len(msg.Parameters) != len(p.params) {
		return fail("08P01", "bind message supplies "+strconv.Itoa(len(msg.Parameters))+" parameters")
	}
	b := &portal{prepared: p, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, raw := range msg.Parameters {
		b.values = append(b.values, decodeParam(raw, formatAt(msg.ParameterFormatCodes, i), p.params[i]))
	}
	s.portals[msg.DestinationPortal] = b
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	default:
		return pgtype.TextFormatCode
	}
}

func (s *session) describe(msg *pgproto3.Describe) error {
	p, formats := s.stmts[msg.Name], []int16(nil)
	if msg.ObjectType == 'P' {
		b := s.portals[msg.Name]
		if b == nil {
			return fail(codeNoPortal, "portal \""+msg.Name+"\" does not exist")
		}
		p, formats = b.prepared, b.formats
	}
	if p == nil {
		return fail(codeNoStatement, "prepared statement \""+msg.Name+"\" does not exist")
	}
	columns, err := s.resultColumns(p)
	if err != nil {
		return err
	}
	if msg.ObjectType != 'P' {
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	}
	if len(columns) == 0 {
		s.be.Send(&pgproto3.NoData{})
		return nil
	}
	s.be.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) execute(msg *pgproto3.Execute) error {
	b := s.portals[msg.Portal]
	if b == nil {
		return fail(codeNoPortal, "portal \""+msg.Portal+"\" does not exist")
	}
	if _, ok := b.prepared.stmt.(emptyStmt); ok {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if b.result == nil {
		res, err := s.run(b.prepared.stmt, b.values)
		if err != nil {
			return err
		}
		b.result = res
	}
	left := b.result.rows[b.done:]
	if limit := int(msg.MaxRows); limit > 0 && len(left) > limit {
		s.sendRows(b.result.columns, left[:limit], b.formats)
		b.done += limit
		s.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.sendRows(b.result.columns, left, b.formats)
	b.done = len(b.result.rows)
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(b.result.tag)})
	return nil
}

func (s *session) forget(msg *pgproto3.Close) {
	if msg.ObjectType == 'P' {
		delete(s.portals, msg.Name)
	} else {
		delete(s.stmts, msg.Name)
	}
	s.be.Send(&pgproto3.CloseComplete{})
}

// sendResult answers a simple query's statement.
func (s *session) sendResult(res *result, formats []int16) {
	if len(res.columns) > 0 {
		s.be.Send(rowDescription(res.columns, formats))
		s.sendRows(res.columns, res.rows, formats)
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}

func (s *session) sendRows(columns []column, rows [][]value, formats []int16) {
	for _, r := range rows {
		line := &pgproto3.DataRow{Values: make([][]byte, len(r))}
		for i, v := range r {
			line.Values[i] = v.encode(formatAt(formats, i), columns[i].oid())
		}
		s.be.Send(line)
	}
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		size := int16(-1)
		if c.kind == kindInt {
			size = 8
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid(),
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       formatAt(formats, i),
		})
	}
	return d
}
