package config

//go:generate go tool stringer -type=Class,Policy,Level,Kind,FileKind,Severity -linecomment -output=enums_string.go

// Class distinguishes short requests from long-running ones.
type Class int

// Classes.
const (
	Interactive Class = iota // interactive
	Bulk                     // bulk
)

// Classes lists all classes.
func Classes() []Class { return []Class{Interactive, Bulk} }

// Policy is what an assigner minimizes when it moves ranges.
type Policy int

// Policies.
const (
	LeastUnavailable Policy = iota // least-unavailable
	LeastChurn                     // least-churn
)

// Policies lists all policies.
func Policies() []Policy { return []Policy{LeastUnavailable, LeastChurn} }

// Level is the lowest level of logged messages.
type Level int

// Levels, named as zap names them.
const (
	LevelDebug Level = iota // debug
	LevelInfo               // info
	LevelWarn               // warn
	LevelError              // error
)

// Levels lists all levels.
func Levels() []Level { return []Level{LevelDebug, LevelInfo, LevelWarn, LevelError} }

// Kind is the JSON type of a value.
type Kind int

// Kinds of values.
const (
	Null   Kind = iota // null
	Bool               // boolean
	Number             // number
	String             // string
	Array              // array
	Object             // object
)

// FileKind is the kind of a file that operators write.
type FileKind int

// Kinds of files.
const (
	FileSettings FileKind = iota // settings
	FileBase                     // base
	FileOverlay                  // overlay
)

// FileKinds lists all kinds of files.
func FileKinds() []FileKind { return []FileKind{FileSettings, FileBase, FileOverlay} }

// Severity determines whether a problem prevents the use of a file.
type Severity int

// Severities.
const (
	SeverityError   Severity = iota // error
	SeverityWarning                 // warning
)
