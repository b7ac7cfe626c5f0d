package usage

import (
	"os"
	"testing"
	"time"
)

func TestOf(t *testing.T) {
	var last Usage
	for begin := time.Now(); last.CPUTime == 0 && time.Since(begin) < 20*time.Second; {
		var err error
		if last, err = Of(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if self, err := Of(0); err != nil || self.Resident < 1<<20 || last.CPUTime <= 0 {
		t.Errorf("usage %+v, %+v, %v", self, last, err)
	}
	if _, err := Of(1 << 30); err == nil {
		t.Error("no error for a process that does not exist")
	}
}
