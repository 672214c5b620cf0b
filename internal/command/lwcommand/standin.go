package lwcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
	"lavenderweir.example/lavenderweir/internal/worker/lwstandin"
)

var standinVerb = &verb{
	name:  "standin",
	short: "run a stand-in platform and backend server for trials",
	usage: `usage: lavenderweir standin --platform ADDRESS [--agent ADDRESS --service NAME]

Serves an in-memory platform interface of one worker and, if an agent's gate is
given, a backend server that announces itself there and answers each request
with the size and digest of its body. A task's program is "name", "name:2s" or
"name:2s:1500:4GiB": its run time, the millicores and the memory it uses. Runs
until SIGTERM or SIGINT; the backend server then withdraws first.

  --platform ADDRESS  where to serve the platform interface
  --agent ADDRESS     gate address of the agent
  --service NAME      service of the backend server
  --name NAME         name of the backend server (default standin)`,
	run: runStandin,
}

const withdrawTimeout = 30 * time.Second

func runStandin(args []string, std streams) error {
	var platform, agent, service string
	name := "standin"
	p := newParser("standin")
	p.String(&platform, "", "platform", "where to serve the platform interface")
	p.String(&agent, "", "agent", "gate address of the agent")
	p.String(&service, "", "service", "service of the backend server")
	p.String(&name, "", "name", "name of the backend server")
	if err := parse(p, args); err != nil {
		return err
	}
	if platform == "" || (agent == "") != (service == "") {
		return &usageError{"--platform is required; --agent and --service must be given together"}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	server, err := lwhttp.Listen(lwhttp.Config{Name: "platform", Address: platform, Handler: lwstandin.NewWorker().Handler()})
	if err != nil {
		return err
	}
	defer server.Close()
	if agent == "" {
		<-signals
		return nil
	}
	b, err := lwstandin.StartBackend(lwunit.BackendServerID(name), lwunit.ServiceName(service), agent)
	if err != nil {
		return err
	}
	defer b.Kill()
	_, _ = fmt.Fprintf(std.out, "backend server %s of %s on %s\n", name, service, b.Address())
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	return b.Withdraw(ctx)
}
