package lwconfig_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// document returns a valid document with the given number of queues.
func document(queues int) lwconfig.Document {
	d := lwconfig.Document{Version: 3, Services: []lwconfig.Service{{Name: "s"}}, Source: []byte(`{"version":3}`)}
	for i := range queues {
		d.Queues = append(d.Queues, lwconfig.Queue{
			Key: lwconfig.QueueKey{Host: "h", Prefix: fmt.Sprintf("/q%d/", i)}, Name: fmt.Sprint(i), Service: "s", Timeout: lwunit.Duration(time.Second),
		})
	}
	return d
}

func TestDocumentRoundTripsThroughJSON(t *testing.T) {
	is := is.New(t)
	d := document(2000)
	data, err := json.Marshal(d)
	is.NoErr(err)
	is.True(len(data) < 60<<10) // compressed; the plain form is over 200 KiB
	var back lwconfig.Document
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(back.Version, d.Version)
	is.Equal(back.Queues, d.Queues)
	is.Equal(back.Source, d.Source)
	again, err := json.Marshal(back)
	is.NoErr(err)
	is.Equal(string(again), string(data))
}

func TestFindReturnsTheLongestPrefix(t *testing.T) {
	d := document(3)
	d.Queues = append(d.Queues, lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: "/q1/deep/"}, Name: "deep", Service: "s", Timeout: 1})
	cases := []struct{ host, path, want string }{
		{"h", "/q1/a", "1"}, {"h", "/q1/deep/a", "deep"}, {"h", "/q1/deep", "1"}, {"h", "/q9/a", ""}, {"g", "/q1/a", ""}, {"h", "", ""},
	}
	for _, x := range cases {
		t.Run(x.host+x.path, func(t *testing.T) {
			q, ok := d.Find(x.host, x.path)
			if ok != (x.want != "") || q.Name != x.want {
				t.Errorf("found %q (%v), want %q", q.Name, ok, x.want)
			}
		})
	}
}

func TestCheckRefusesInvalidDocuments(t *testing.T) {
	cases := map[string]func(*lwconfig.Document){
		"two queues with one key": func(d *lwconfig.Document) { d.Queues[1].Key = d.Queues[0].Key },
		"an unknown service":      func(d *lwconfig.Document) { d.Queues[0].Service = "other" },
		"no timeout":              func(d *lwconfig.Document) { d.Queues[0].Timeout = 0 },
		"a repeated service":      func(d *lwconfig.Document) { d.Services = append(d.Services, d.Services[0]) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			d := document(2)
			if err := d.Check(); err != nil {
				t.Fatal(err)
			}
			invalidate(&d)
			if d.Check() == nil {
				t.Error("the invalid document was accepted")
			}
		})
	}
}
