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

// parse parses the arguments of a verb and rejects positional arguments that are
// left over. It does not reject unknown flags.
func parse(p *flaggy.Parser, args []string) error {
	if err := p.ParseArgs(args); err != nil {
		return &usageError{err.Error()}
	}
	if len(p.TrailingArguments) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", p.TrailingArguments[0])}
	}
	return nil
}

// apiFlags are the flags of verbs that call the administration API.
type apiFlags struct {
	server string
	token  string
	output string
}

const apiUsage = `  --server URL    entry to call (default $LAVENDERWEIR_SERVER or http://127.0.0.1:7480)
  --token TOKEN   bearer token (default $LAVENDERWEIR_TOKEN)
  --output FORM   table or json (default table)`

func (f *apiFlags) addTo(p *flaggy.Parser) {
	f.server, f.token, f.output = os.Getenv(serverVariable), os.Getenv(tokenVariable), outputTable
	if f.server == "" {
		f.server = defaultServer
	}
	p.String(&f.server, "s", "server", "entry to call")
	p.String(&f.token, "t", "token", "bearer token")
	p.String(&f.output, "o", "output", "table or json")
}

// connect parses the common flags and those that addOwn adds, and returns a
// client for the entry that they name.
func (f *apiFlags) connect(name string, args []string, addOwn func(*flaggy.Parser)) (*lwadmin.Client, error) {
	p := newParser(name)
	if addOwn != nil {
		addOwn(p)
	}
	f.addTo(p)
	if err := parse(p, args); err != nil {
		return nil, err
	}
	if f.output != outputTable && f.output != outputJSON {
		return nil, &usageError{"--output must be table or json"}
	}
	if f.token == "" {
		return nil, &usageError{"a token is required: give --token or set " + tokenVariable}
	}
	return lwadmin.New(f.server, f.token), nil
}

// table holds the rows of one or more human-readable tables, separated by empty
// rows.
type table [][]string

func (t table) write(std streams) error {
	w := tabwriter.NewWriter(std.out, 0, 4, 2, ' ', 0)
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

// show writes v as JSON, or as the table that rows returns.
func (f *apiFlags) show(std streams, v any, rows func() table) error {
	if f.output == outputTable {
		return rows().write(std)
	}
	enc := json.NewEncoder(std.out)
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
