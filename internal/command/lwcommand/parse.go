package lwcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"lavenderweir.example/lavenderweir/internal/command/lwadmin"
)

const (
	serverVariable = "LAVENDERWEIR_SERVER"
	tokenVariable  = "LAVENDERWEIR_TOKEN"
	defaultServer  = "http://127.0.0.1:7480"
	outputTable    = "table"
	outputJSON     = "json"
)

// newParser returns a parser for the flags of one verb.
func newParser(v string) *flaggy.Parser {
	p := flaggy.NewParser("lavenderweir " + v)
	p.ShowHelpWithHFlag = false
	p.DisableShowVersionWithVersion()
	p.ShowHelpOnUnexpected = false
	return p
}

// parse reads the flags of a verb.
func parse(p *flaggy.Parser, args []string) error {
	if err := p.ParseArgs(args); err != nil {
		return &usageError{err.Error()}
	}
	if len(p.TrailingArguments) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", p.TrailingArguments[0])}
	}
	return nil
}

// remote are the flags of verbs that call the administration API.
type remote struct {
	server string
	token  string
	output string
}

const remoteUsage = `  --server URL    entry to call (default $LAVENDERWEIR_SERVER or http://127.0.0.1:7480)
  --token TOKEN   bearer token (default $LAVENDERWEIR_TOKEN)
  --output FORM   table or json (default table)`

func (r *remote) flags(p *flaggy.Parser) {
	r.server, r.token, r.output = os.Getenv(serverVariable), os.Getenv(tokenVariable), outputTable
	if r.server == "" {
		r.server = defaultServer
	}
	p.String(&r.server, "s", "server", "entry to call")
	p.String(&r.token, "t", "token", "bearer token")
	p.String(&r.output, "o", "output", "table or json")
}

// connect parses the flags of a verb, its own and the common ones, and returns
// a client for the entry that they name.
func (r *remote) connect(name string, args []string, own func(*flaggy.Parser)) (*lwadmin.Client, error) {
	p := newParser(name)
	if own != nil {
		own(p)
	}
	r.flags(p)
	if err := parse(p, args); err != nil {
		return nil, err
	}
	if r.output != outputTable && r.output != outputJSON {
		return nil, &usageError{"--output must be table or json"}
	}
	if r.token == "" {
		return nil, &usageError{"give --token or set " + tokenVariable}
	}
	return lwadmin.New(r.server, r.token), nil
}

// table is rows for people; the first row is the header.
type table [][]string

func (t table) write(io streams) error {
	w := tabwriter.NewWriter(io.out, 0, 4, 2, ' ', 0)
	for _, row := range t {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// show writes v as JSON, or as the table that rows makes of it.
func (r *remote) show(io streams, v any, rows func() table) error {
	if r.output == outputTable {
		return rows().write(io)
	}
	enc := json.NewEncoder(io.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// readDocument reads a file, or standard input for "-".
func readDocument(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}
