package dispatch_test

import (
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
