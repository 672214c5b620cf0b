package lwcontrol

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// repairGroup is a group of which only the leader's view is simulated. A member
// is written as id@address; a member without an address is at its id.
type repairGroup struct {
	t *testing.T
	n *Node
	r *replica
}

func newRepairGroup(t *testing.T, seeds int, voters, learners string) *repairGroup {
	t.Helper()
	r := &replica{events: make(chan event, 1)}
	n := &Node{log: zap.NewNop(), replica: r, cfg: Config{Seeds: make([]string, seeds)}}
	g := &repairGroup{t, n, r}
	v := view{role: lwreplica.Leader, term: 1, membership: lwreplica.Membership{Voters: parseMembers(voters), Learners: parseMembers(learners)}}
	v.leader = v.membership.Voters[0].ID
	g.setView(v)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case e := <-r.events:
				v := r.currentView()
				v.membership = e.body.(lwreplica.ChangeMembership).Membership
				g.setView(v)
				e.waiter.finish(nil)
			}
		}
	}()
	return g
}

func parseMembers(list string) []lwreplica.Member {
	var members []lwreplica.Member
	for _, text := range strings.Fields(list) {
		id, address, ok := strings.Cut(text, "@")
		if !ok {
			address = id
		}
		members = append(members, lwreplica.Member{ID: lwunit.ReplicaID(id), Address: address})
	}
	return members
}

// setView sets the leader's view and completes its progress: a member that has
// just been added has answered and caught up.
func (g *repairGroup) setView(v view) {
	old := v.progress
	v.progress = nil
	for _, m := range v.membership.Members() {
		p := memberProgress{member: m}
		if i := slices.IndexFunc(old, func(p memberProgress) bool { return p.member.ID == m.ID }); i >= 0 {
			p = old[i]
		}
		v.progress = append(v.progress, p)
	}
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	g.r.view = v
}

// newLeader passes the leadership to another voter, whose process knows only
// the membership.
func (g *repairGroup) newLeader(id lwunit.ReplicaID) {
	g.n = &Node{log: zap.NewNop(), replica: g.r, cfg: g.n.cfg}
	g.newTerm(id)
}

func (g *repairGroup) newTerm(leader lwunit.ReplicaID) {
	v := g.r.currentView()
	v.term++
	v.leader = leader
	g.setView(v)
}

func (g *repairGroup) setSilent(id lwunit.ReplicaID, silent bool) {
	v := g.r.currentView()
	v.progress = slices.Clone(v.progress)
	for i := range v.progress {
		if v.progress[i].member.ID == id {
			v.progress[i].sinceAnswer = 0
			if silent {
				v.progress[i].sinceAnswer = 2 * voterLostAfter
			}
		}
	}
	g.setView(v)
}

func (g *repairGroup) addLearner(m string) {
	v := g.r.currentView()
	v.membership.Learners = append(slices.Clone(v.membership.Learners), parseMembers(m)...)
	g.setView(v)
}

// repair runs several steps and expects the given voters, in order of id, and
// never fewer than one voter less than before.
func (g *repairGroup) repair(voters string) {
	g.t.Helper()
	before := len(g.r.currentView().membership.Voters)
	for range 5 {
		g.step()
		if n := len(g.r.currentView().membership.Voters); n < before-1 {
			g.t.Fatalf("%d voters are left of %d", n, before)
		}
	}
	is.New(g.t).Equal(g.voters(), voters)
}

func (g *repairGroup) step() { g.n.repairStep(g.t.Context(), g.r) }

func (g *repairGroup) voters() string {
	var ids []string
	for _, m := range g.r.currentView().membership.Voters {
		ids = append(ids, string(m.ID))
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func (g *repairGroup) replace(voter, learner string) error {
	return g.n.onReplace(replaceParams{Old: voter, New: learner})
}

// A learner that replaced a voter before, was replaced itself and has joined again
// must not grow the group.
func TestLearnerThatWasPromotedBeforeStaysLearner(t *testing.T) {
	g := newRepairGroup(t, 3, "a b c", "d")
	g.setSilent("b", true)
	g.repair("a c d")
	g.setSilent("d", true)
	g.addLearner("e")
	g.repair("a c e")
	g.addLearner("d")
	g.setSilent("d", false)
	g.repair("a c e")
}

// An operator's replacement holds once. A learner that joins later at the same
// address must neither replace a voter nor grow the group.
func TestReplacementByOperatorHoldsOnce(t *testing.T) {
	t.Run("the old address has a voter again", func(t *testing.T) {
		is := is.New(t)
		g := newRepairGroup(t, 3, "a b c", "d")
		is.NoErr(g.replace("b", "d"))
		g.repair("a c d")
		g.addLearner("b2@b")
		is.NoErr(g.replace("d", "b"))
		g.repair("a b2 c")
		g.addLearner("d2@d")
		g.repair("a b2 c")
	})
	t.Run("the old address has no voter", func(t *testing.T) {
		is := is.New(t)
		g := newRepairGroup(t, 3, "a b c", "d")
		is.NoErr(g.replace("b", "d"))
		g.repair("a c d")
		g.addLearner("e")
		is.NoErr(g.replace("d", "e"))
		g.repair("a c e")
		g.addLearner("d2@d")
		g.repair("a c e")
	})
	t.Run("recorded in an earlier term", func(t *testing.T) {
		is := is.New(t)
		g := newRepairGroup(t, 3, "a b c", "d")
		is.NoErr(g.replace("b", "d"))
		g.newTerm("a") // others led meanwhile
		g.repair("a b c")
	})
}

// An operator names the address of no voter for a group that is complete. The
// command must be refused and must not grow the group.
func TestReplacementOfNoVoterIsRefused(t *testing.T) {
	is := is.New(t)
	g := newRepairGroup(t, 3, "a b c", "d")
	is.Equal(lwfault.KindOf(g.replace("x", "d")), lwfault.NotFound)
	g.repair("a b c")
}

// An operator names a voter for one learner while the group waits for another to
// take the place of a lost voter. Both must be carried out.
func TestReplacementDuringRepair(t *testing.T) {
	is := is.New(t)
	g := newRepairGroup(t, 3, "a b c", "f g")
	g.setSilent("c", true)
	g.step()
	is.Equal(g.voters(), "a b")
	is.NoErr(g.replace("b", "g"))
	g.repair("a f g")
}

// The leader is lost between the removal of a voter and the promotion of the
// learner. The next one must finish the repair and remove no second voter.
func TestNewLeaderFinishesRepair(t *testing.T) {
	cases := []struct {
		name  string
		seeds int
	}{{"seeds of the first members", 5}, {"seeds of a replica added later", 6}}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			g := newRepairGroup(t, x.seeds, "a b c d e", "f")
			g.setSilent("e", true)
			g.step()
			is.New(t).Equal(g.voters(), "a b c d")
			g.newLeader("b")
			g.setSilent("d", true)
			g.repair("a b c d f")
		})
	}
	t.Run("the operator repeats the command", func(t *testing.T) {
		is := is.New(t)
		g := newRepairGroup(t, 3, "a b c", "other d")
		is.NoErr(g.replace("a", "d"))
		g.step()
		is.Equal(g.voters(), "b c")
		g.newLeader("b")
		is.NoErr(g.replace("a", "d"))
		g.repair("b c d")
	})
}

// A leader whose seeds do not tell how many voters the group has, since they are
// those of a replica added later, must neither grow nor shrink it.
func TestRepairKeepsNumberOfVoters(t *testing.T) {
	for _, seeds := range []int{1, 2, 3, 4} {
		g := newRepairGroup(t, seeds, "a b c", "d")
		g.repair("a b c")
		g.setSilent("c", true)
		g.repair("a b d")
		g.addLearner("d2@d")
		g.repair("a b d2")
		g.addLearner("e")
		is.New(t).NoErr(g.replace("b", "e"))
		g.repair("a d2 e")
	}
}

// A group that began with fewer voters than are configured must reach the number.
func TestLearnersCompleteGroup(t *testing.T) {
	g := newRepairGroup(t, 3, "a", "b c d")
	g.repair("a b c")
	g = newRepairGroup(t, 5, "a b c", "d e f")
	g.repair("a b c d e")
}

// A replica that lost its disk while the group has fewer voters than are configured
// must take the place of its former identity.
func TestLostDiskInIncompleteGroup(t *testing.T) {
	g := newRepairGroup(t, 5, "a b c d", "d2@d")
	g.setSilent("d", true)
	g.repair("a b c d2")
}

// A learner that does not answer must not replace a lost voter.
func TestSilentLearnerReplacesNoVoter(t *testing.T) {
	g := newRepairGroup(t, 3, "a b c", "d")
	g.setSilent("c", true)
	g.setSilent("d", true)
	g.repair("a b c")
}
