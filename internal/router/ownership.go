package router

import "github.com/cespare/xxhash/v2"

// ownerOf returns the VM of the daemon that owns the slots of a minion, by
// rendezvous hashing over the live daemons of its zone. All daemons with the same
// view of the live VMs choose the same owner, and the loss of a daemon moves only
// its own minions.
func ownerOf(minion string, vms []string) string {
	owner, best := "", uint64(0)
	for _, vm := range vms {
		weight := xxhash.Sum64String(vm + "\x00" + minion)
		if owner == "" || weight > best || (weight == best && vm < owner) {
			owner, best = vm, weight
		}
	}
	return owner
}
