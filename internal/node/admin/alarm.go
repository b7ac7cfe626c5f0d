package admin

import (
	"fmt"
	"strings"
)

// Alarm is a problem in a status that needs an operator's attention, and the action to take.
type Alarm struct {
	Problem string `json:"what"`
	Action  string `json:"do"`
}

// Alarms returns the problems in a status, most severe first. Drains and versions that are still
// being distributed raise no alarm.
func (st *Status) Alarms() []Alarm {
	var list []Alarm
	add := func(action, format string, args ...any) {
		list = append(list, Alarm{Problem: fmt.Sprintf(format, args...), Action: action})
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
			add("check the network between the failure domains", "failure domain %s is unreachable from %s", ds.Name, st.VM)
		case ds.Unknown:
			add("start daemons there, or check the network", "failure domain %s has reported nothing", ds.Name)
		case ds.Members > 0 && ds.Serving == 0:
			add("check the backend servers there", "failure domain %s has %d daemons and no backend server that serves", ds.Name, ds.Members)
		}
		if len(ds.Silent) > 0 {
			add("check the network there first, then these VMs", "failure domain %s: no contact with %s", ds.Name, strings.Join(ds.Silent, ", "))
		}
	}
	if st.PlatformError != "" {
		add("daemons continue with the version they hold; no submission can be accepted meanwhile", "the platform does not answer: %s", st.PlatformError)
	}
	return list
}
