package intact

// Kind is what is wrong with a response.
type Kind int

// The kinds.
const (
	// CutOff is a response that ended early.
	CutOff Kind = iota + 1
	// Malformed is a response that violates the protocol.
	Malformed
)

// String returns the kind in words.
func (kd Kind) String() string {
	if kd == Malformed {
		return "malformed response"
	}
	return "response cut off"
}

// Error describes a broken response.
type Error struct {
	Kind   Kind
	Detail string
	// Err is the error of the connection, nil if it has not failed.
	Err error
}

// Error returns the kind, the detail and the error of the connection.
func (er *Error) Error() string {
	text := "intact: " + er.Kind.String() + ": " + er.Detail
	if er.Err != nil {
		text += ": " + er.Err.Error()
	}
	return text
}

// Unwrap returns the error of the connection.
func (er *Error) Unwrap() error { return er.Err }
