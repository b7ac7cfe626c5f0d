package notice

import (
	"testing"
	"time"
)

func TestEncode(t *testing.T) {
	for _, no := range []Notice{
		{Instance: Instance{Lifetime: "i-1"}, Limit: 3.4, Limited: true},
		{Instance: Instance{Lifetime: "i-1", StartedMs: 1_700_000_000_000}, Limited: true},
		{Instance: Instance{Lifetime: "a&limit=1;ü\r\n"}, Leaving: true},
		{Instance: Instance{}, Limit: 1e20, Limited: true, Leaving: true},
	} {
		text := no.String()
		if got, ok := Parse(text); !ok || got != no {
			t.Errorf("%+v is encoded as %q and decoded as %+v, %v", no, text, got, ok)
		}
	}
	for _, text := range []string{"", "x", "lifetime=i&limit=-1", "lifetime=i&limit=NaN", "lifetime=i&started=x", "limit=1", "%zz"} {
		if no, ok := Parse(text); ok {
			t.Errorf("%q is decoded as %+v", text, no)
		}
	}
}

func TestSame(t *testing.T) {
	for _, tc := range []struct {
		a, b Instance
		want bool
	}{
		{Instance{"i", 1}, Instance{"i", 1}, true},
		{Instance{"i", 1}, Instance{"i", 0}, true},
		{Instance{"i", 1}, Instance{"i", 2}, false},
		{Instance{"i", 1}, Instance{"j", 1}, false},
	} {
		if tc.a.Same(tc.b) != tc.want || tc.b.Same(tc.a) != tc.want {
			t.Errorf("%+v and %+v: want %v", tc.a, tc.b, tc.want)
		}
	}
}

// TestMemory guards against responses that overtake each other lifting a limit, and against a
// departure being revoked.
func TestMemory(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	limited := Notice{Instance: Instance{Lifetime: "i"}, Limit: 3, Limited: true}.String()
	leaving := Notice{Instance: Instance{Lifetime: "i"}, Limit: 3, Limited: true, Leaving: true}.String()
	var me Memory
	if me.Get("vm") != nil || me.Lift("vm", at(0), at(1)) {
		t.Error("an empty memory knows something")
	}
	me.Hear("vm", limited, at(10))
	me.Hear("vm", limited, at(20))
	if me.Lift("vm", at(15), at(21)) || me.Get("vm") == nil {
		t.Error("lifted by a response to a request that was sent before")
	}
	me.Hear("vm", "limit=x", at(22))
	if en := me.Get("vm"); en == nil || en.Limit != 3 {
		t.Error("an invalid notice replaces a valid one")
	}
	if !me.Lift("vm", at(21), at(22)) || me.Get("vm") != nil {
		t.Error("not lifted by a response to a later request")
	}
	me.Hear("vm", leaving, at(30))
	if me.Lift("vm", at(40), at(41)) || !me.Get("vm").Leaving {
		t.Error("a departure was revoked")
	}
	me.Hear("other", limited, at(31).Add(retention))
	if me.Get("vm") != nil || me.Get("other") == nil {
		t.Error("want only the recent notice")
	}
}
