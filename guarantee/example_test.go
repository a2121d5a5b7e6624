package guarantee_test

import (
	"fmt"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
)

func ExampleReserve() {
	workers := []guarantee.Worker{
		guarantee.NewWorker("w1", "rack-1", "a1", 64, 128<<10, 8),
		guarantee.NewWorker("w2", "rack-1", "a1", 64, 128<<10, 8),
		guarantee.NewWorker("w3", "rack-2", "a1", 64, 128<<10, 8),
	}
	shape := api.Shape{Zone: "kiruna", Tasks: 2, Adjacency: api.AdjacencyRack,
		Resources: api.Resources{Cores: 32, MemoryMb: 64 << 10, Accelerators: 8}}
	result := guarantee.Reserve(workers, []guarantee.Guarantee{
		{Organisation: "crew", Shape: shape}, {Organisation: "university", Shape: shape},
	}, nil)
	for _, t := range result.Reservations[0].Tasks {
		fmt.Println(t.Worker, t.Accelerators)
	}
	fmt.Println(result.Shortfalls[0].Reason)
	// Output:
	// w1 [0 1 2 3 4 5 6 7]
	// w2 [0 1 2 3 4 5 6 7]
	// the guarantee of university in zone kiruna is short by 1 of 2 tasks (2 tasks with 8 accelerators each on one rack): the live workers hold no more
}

func ExampleCheck() {
	workers := []guarantee.Worker{guarantee.NewWorker("w1", "rack-1", "a1", 64, 128<<10, 8)}
	shape := api.Shape{Zone: "kiruna", Tasks: 1, Adjacency: api.AdjacencyWorker, Resources: api.Resources{Accelerators: 8}}
	one := api.Catalogue{Organisations: []api.Organisation{{Name: "crew", Guarantees: []api.Shape{shape}}}}
	two := api.Catalogue{Organisations: append(one.Organisations, api.Organisation{Name: "county", Guarantees: []api.Shape{shape}})}
	fmt.Println(guarantee.Check("kiruna", api.Catalogue{}, one, workers).Accepted)
	result := guarantee.Check("kiruna", one, two, workers)
	fmt.Println(result.Accepted, result.Reason)
	// Output:
	// true
	// false the guarantee of county in zone kiruna is short by 1 of 1 tasks (1 task with 8 accelerators on one worker): the live workers hold no more
}

func ExampleSelectVictims() {
	onWorker := func(accelerators ...int) []api.TaskPlacement {
		return []api.TaskPlacement{{Worker: "w1", Accelerators: accelerators}}
	}
	borrowers := []guarantee.Borrower{
		{JobID: "long", Resources: api.Resources{Cores: 8, Accelerators: 2}, Tasks: onWorker(0, 1), LostWork: guarantee.LostWork(2*time.Hour, 2)},
		{JobID: "short", Resources: api.Resources{Cores: 8, Accelerators: 2}, Tasks: onWorker(2, 3), LostWork: guarantee.LostWork(time.Minute, 2)},
	}
	fmt.Println(guarantee.SelectVictims(borrowers, []guarantee.ReclaimTarget{{Worker: "w1", Capacity: guarantee.Capacity{Cores: 4}}}))
	// Output: [short] true
}
