package admin

import (
	"fmt"
	"strings"
)

// Alarm is something in a status that an operator should look at.
type Alarm struct {
	What string `json:"what"`
	Do   string `json:"do"`
}

// Alarms returns what is wrong in a status and what to do about it, the
// gravest first. Drains and versions on their way are no alarms.
func (st *Status) Alarms() []Alarm {
	var list []Alarm
	add := func(do, format string, args ...any) {
		list = append(list, Alarm{What: fmt.Sprintf(format, args...), Do: do})
	}
	if st.PlatformBehind {
		add("check the declarations, then apply them with --resume",
			"the platform shows version %d, the fleet knows version %d: the platform was set back", st.Platform, st.Latest)
	}
	for _, ds := range st.Domains {
		if len(ds.Refused) > 0 {
			add("update these daemons, or apply a version without what they do not know",
				"failure domain %s: refused by %s", ds.Name, strings.Join(ds.Refused, "; "))
		}
	}
	for _, ds := range st.Domains {
		switch {
		case ds.Unreachable:
			add("look at the network between the failure domains", "failure domain %s is cut off from %s", ds.Name, st.VM)
		case ds.Unknown:
			add("start daemons there, or look at the network", "failure domain %s has reported nothing", ds.Name)
		case ds.Members > 0 && ds.Serving == 0:
			add("look at the backend servers there", "failure domain %s has %d daemons and no backend server that serves", ds.Name, ds.Members)
		}
		if len(ds.Silent) > 0 {
			add("look at the network there first, then at these VMs", "failure domain %s: not heard of %s", ds.Name, strings.Join(ds.Silent, ", "))
		}
	}
	if st.PlatformError != "" {
		add("daemons go on with what they hold; nothing can be accepted meanwhile", "the platform does not answer: %s", st.PlatformError)
	}
	return list
}
