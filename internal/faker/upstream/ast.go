package upstream

// expr is a literal, a parameter, a column or a function call; add is the +n of
// column + n.
type expr struct {
	literal value
	param   int // from 1
	column  string
	call    string
	args    []expr
	plus    *expr
}

type condition struct {
	column string
	value  expr
}

type assignment struct {
	column string
	value  expr
}

type (
	emptyStmt    struct{}
	beginStmt    struct{}
	commitStmt   struct{}
	rollbackStmt struct{}

	// plainStmt is accepted without an effect.
	plainStmt struct{ tag string }

	setStmt struct {
		name, value string
		local       bool
	}

	// resetStmt resets one setting, all without a name.
	resetStmt struct{ name string }

	// savepointStmt is SAVEPOINT, RELEASE or, by the tag ROLLBACK, ROLLBACK TO.
	savepointStmt struct{ tag, name string }

	showStmt struct{ name string }

	createStmt struct {
		table   string
		columns []column
	}

	insertStmt struct {
		table     string
		columns   []string
		rows      [][]expr
		doNothing bool
	}

	selectStmt struct {
		table   string
		columns []string // nil: all
		count   bool
		where   []condition
		limit   int // 0: no limit
		lock    bool
	}

	valuesStmt struct{ exprs []expr }

	updateStmt struct {
		table string
		set   []assignment
		where []condition
	}

	deleteStmt struct {
		table string
		where []condition
	}

	// controlStmt is SELECT * FROM basildale_NAME(...).
	controlStmt struct {
		name string
		args []expr
	}
)

// statement is one of the types above.
type statement any

func isWrite(st statement) bool {
	switch st := st.(type) {
	case createStmt, insertStmt, updateStmt, deleteStmt:
		return true
	case selectStmt:
		return st.lock
	default:
		return false
	}
}
