package lwticket_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

const valid = `{"number": 7, "author": "aiko", "objects": [
	{"kind": "service", "name": "s", "spec": {"team": "t"}},
	{"kind": "team", "name": "t", "spec": {}}]}`

func ExampleTicket_Digest() {
	a, _ := lwticket.Decode([]byte(`{"number": 1, "author": "aiko", "objects": [{"kind": "team", "name": "t", "spec": {"weight": 1}}]}`))
	b, _ := lwticket.Decode([]byte(`{"objects": [{"name": "t", "kind": "team", "spec": {}}], "author": "aiko", "number": 1}`))
	digestA, _ := a.Digest()
	digestB, _ := b.Digest()
	fmt.Println(digestA == digestB) // omitted defaults and the order of fields do not matter
	// Output: true
}

func TestDecodeRejectsInvalidTickets(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown field", `"author"`, `"autor": "x", "author"`, "unknown field"},
		{"unknown field of a spec", `"team": "t"`, `"team": "t", "slotz": 3`, "unknown field"},
		{"number 0", `"number": 7`, `"number": 0`, "number must be at least 1"},
		{"empty author", `"aiko"`, `""`, "author must have"},
		{"duplicate object", `"kind": "team", "name": "t", "spec": {}`, `"kind": "service", "name": "s", "spec": {"team": "t"}`, "appears twice"},
		{"neither spec nor absent", `, "spec": {}`, ``, `give either spec or "absent": true`},
		{"spec and absent", `"spec": {}`, `"spec": {}, "absent": true`, `give either spec or "absent": true`},
		{"unknown kind", `"kind": "team"`, `"kind": "gang"`, "kind must be"},
		{"no team", `{"team": "t"}`, `{}`, "spec.team is required"},
		{"slots out of range", `"team": "t"`, `"team": "t", "slots": 0`, "spec.slots must be"},
		{"key retention too long", `"team": "t"`, `"team": "t", "key_retention": "200h"`, "spec.key_retention must be"},
		{"duration without unit", `"team": "t"`, `"team": "t", "timeout": 5`, "duration must be a string with a unit"},
		{"token that is not a digest", `"spec": {}`, `"spec": {"tokens": [{"role": "caller", "sha256": "secret"}]}`, "64 hexadecimal digits"},
		{"unknown role", `"spec": {}`, `"spec": {"tokens": [{"role": "king", "sha256": "` + strings.Repeat("ab", 32) + `"}]}`, "needs a role"},
		{"data after the ticket", `}]}`, `}]} {}`, "data after the document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.from, c.to, 1)
			is.True(text != valid)
			_, err := lwticket.Decode([]byte(text))
			is.True(err != nil)
			is.Equal(lwfault.KindOf(err), lwfault.Invalid)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// tokenTicket returns a ticket with two teams that have the given tokens.
func tokenTicket(first, second string) string {
	return `{"number": 7, "author": "aiko", "objects": [
		{"kind": "team", "name": "t", "spec": {"tokens": [` + first + `]}},
		{"kind": "team", "name": "u", "spec": {"tokens": [` + second + `]}}]}`
}

// Of a token that a ticket grants twice one grant would count, and nobody would be told
// which. New tickets of that kind are refused. Decode must still accept them: replicas
// apply again what an earlier version put into the log.
func TestTokenGrantedTwice(t *testing.T) {
	a, b := strings.Repeat("ab", 32), strings.Repeat("cd", 32)
	token := func(role, digest string) string { return fmt.Sprintf(`{"role": %q, "sha256": %q}`, role, digest) }
	cases := []struct{ name, first, second, want string }{
		{"different tokens", token("caller", a), token("operator", b), ""},
		{"the same grant twice", token("caller", a) + "," + token("caller", a), token("caller", b), ""},
		{"two roles", token("caller", a) + "," + token("operator", a), token("caller", b), "as caller of team t and as operator of team t"},
		{"two roles in other cases", token("caller", a) + "," + token("submitter", strings.ToUpper(a)), "", "as caller of team t and as submitter of team t"},
		{"two teams", token("caller", a), token("caller", a), "as caller of team t and as caller of team u"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			decoded, err := lwticket.Decode([]byte(tokenTicket(c.first, c.second)))
			is.NoErr(err)
			err = decoded.CheckTokens()
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(lwfault.KindOf(err), lwfault.Invalid)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(strings.Contains(err.Error(), a)) // names the token
		})
	}
}

// The digest of an accepted ticket must never change: a replica that replays the log
// under a newer version would keep another one than a replica that does not.
func TestDigestKeepsTokensAsWritten(t *testing.T) {
	is := is.New(t)
	a := strings.Repeat("ab", 32)
	decoded, err := lwticket.Decode([]byte(tokenTicket(`{"role": "caller", "sha256": "`+a+`"}, {"role": "operator", "sha256": "`+strings.ToUpper(a)+`"}`, "")))
	is.NoErr(err)
	digest, err := decoded.Digest()
	is.NoErr(err)
	is.Equal(string(digest), "d37af95b6a8ba6844c80b26026fef477d7f98b0c9c3cd517cb0a5e0ffec50670")
}

func TestRolesIncludeLowerRoles(t *testing.T) {
	is := is.New(t)
	is.True(lwticket.RoleOperator.Allows(lwticket.RoleCaller))
	is.True(lwticket.RoleSubmitter.Allows(lwticket.RoleCaller))
	is.True(!lwticket.RoleCaller.Allows(lwticket.RoleSubmitter))
	is.True(!lwticket.Role("").Allows(lwticket.RoleCaller))
}

// FuzzDecode checks that the canonical form of any accepted ticket decodes to a
// ticket with the same digest.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"number": 1, "author": "a", "objects": [{"region": "r", "kind": "deployment", "name": "d", "absent": true}]}`))
	f.Add([]byte(`{"number": 18446744073709551615, "author": "\u0000", "objects": [{"kind":"team","name":"t","spec":{"quota":{"memory":"1e3GB"}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := lwticket.Decode(data)
		if err != nil {
			return
		}
		canonical, err := first.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		second, err := lwticket.Decode(canonical)
		if err != nil {
			t.Fatalf("canonical form %s does not decode: %v", canonical, err)
		}
		firstDigest, _ := first.Digest()
		secondDigest, _ := second.Digest()
		if firstDigest != secondDigest {
			t.Fatalf("the digest changes when the canonical form is decoded: %s", canonical)
		}
	})
}
