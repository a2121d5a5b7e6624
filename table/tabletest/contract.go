// Package tabletest provides the contract of table.Store as ginkgo specs that every
// implementation must pass.
package tabletest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/table"
)

// raceWriters is the number of writers that concurrently insert the same row.
const raceWriters = 16

// listPrefix is the key prefix that the specs list.
const listPrefix = "jobs/"

// Contract registers the specs. newStore returns an empty store for each spec.
func Contract(newStore func() table.Store) {
	ginkgo.Describe("table.Store contract", func() {
		var s suite
		ginkgo.BeforeEach(func() { s = suite{store: newStore(), ctx: context.Background()} })

		ginkgo.It("returns committed rows, and reports missing ones", func() { s.readsBack() })
		ginkgo.It("applies no write when a condition fails", func() { s.commitsAtomically() })
		ginkgo.It("commits exactly one of several concurrent inserts of a row", func() { s.racingInserts() })
		ginkgo.It("checks conditions on rows that the commit does not write", func() { s.checksUnwrittenRows() })
		ginkgo.It("lists only changes after a version, deletions included", func() { s.listsChanges() })
		ginkgo.It("lists a row that was deleted and inserted again as a row", func() { s.listsReinsert() })
		ginkgo.It("keeps a deletion in listings after many later writes", func() { s.keepsDeletions() })
		ginkgo.It("lists every change to a reader that lists from the last version", func() { s.followsChanges() })
		ginkgo.It("commits nothing when the context has ended", func() { s.rejectsEndedContext() })
		ginkgo.It("copies values from and to the caller's slices", func() { s.copiesValues() })
	})
}

type suite struct {
	store table.Store
	ctx   context.Context
}

func put(key, value string) table.Write { return table.Write{Key: key, Value: []byte(value)} }

func (s suite) commit(conditions []table.Condition, writes ...table.Write) int64 {
	ginkgo.GinkgoHelper()
	result := s.store.Commit(s.ctx, conditions, writes)
	gomega.Expect(result.Err).NotTo(gomega.HaveOccurred())
	gomega.Expect(result.Status).To(gomega.Equal(table.Committed))
	return result.Version
}

func (s suite) get(key string) (table.Row, bool) {
	ginkgo.GinkgoHelper()
	row, ok, err := s.store.Get(s.ctx, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return row, ok
}

func (s suite) list(since int64) table.Listing {
	ginkgo.GinkgoHelper()
	listing, err := s.store.List(s.ctx, listPrefix, since)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return listing
}

func keys(rows []table.Row) []string {
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.Key)
	}
	return names
}

func (s suite) readsBack() {
	_, ok := s.get("a")
	gomega.Expect(ok).To(gomega.BeFalse())
	version := s.commit(nil, put("a", "1"), put("a b/ö?&%", "\x00\xff"))
	gomega.Expect(version).To(gomega.BeNumerically(">", 0))
	row, ok := s.get("a b/ö?&%")
	gomega.Expect(ok).To(gomega.BeTrue())
	gomega.Expect(row).To(gomega.Equal(table.Row{Key: "a b/ö?&%", Value: []byte("\x00\xff"), Version: version}))
	later := s.commit([]table.Condition{{Key: "a", Version: version}}, table.Write{Key: "a", Delete: true})
	gomega.Expect(later).To(gomega.BeNumerically(">", version))
	_, ok = s.get("a")
	gomega.Expect(ok).To(gomega.BeFalse())
}

func (s suite) commitsAtomically() {
	version := s.commit(nil, put("a", "1"), put("b", "1"))
	result := s.store.Commit(s.ctx,
		[]table.Condition{{Key: "a", Version: version}, {Key: "b", Version: 0}, {Key: "c", Version: 7}},
		[]table.Write{put("a", "2"), put("d", "2")})
	gomega.Expect(result.Status).To(gomega.Equal(table.Conflict))
	gomega.Expect(result.Conflicts).To(gomega.ConsistOf("b", "c"))
	row, _ := s.get("a")
	gomega.Expect(string(row.Value)).To(gomega.Equal("1"))
	_, ok := s.get("d")
	gomega.Expect(ok).To(gomega.BeFalse())
}

func (s suite) racingInserts() {
	var wins, conflicts atomic.Int32
	var wg sync.WaitGroup
	for i := range raceWriters {
		wg.Go(func() {
			result := s.store.Commit(s.ctx, []table.Condition{{Key: "row"}}, []table.Write{put("row", fmt.Sprint(i))})
			switch result.Status {
			case table.Committed:
				wins.Add(1)
			case table.Conflict:
				conflicts.Add(1)
			}
		})
	}
	wg.Wait()
	gomega.Expect(wins.Load()).To(gomega.Equal(int32(1)))
	gomega.Expect(conflicts.Load()).To(gomega.Equal(int32(raceWriters - 1)))
}

func (s suite) checksUnwrittenRows() {
	fence := s.commit(nil, put("fence", "1"))
	s.commit([]table.Condition{{Key: "fence", Version: fence}}, put("job", "1"))
	s.commit([]table.Condition{{Key: "fence", Version: fence}}, put("fence", "2"))
	result := s.store.Commit(s.ctx, []table.Condition{{Key: "fence", Version: fence}}, []table.Write{put("job", "2")})
	gomega.Expect(result.Status).To(gomega.Equal(table.Conflict))
	result = s.store.Commit(s.ctx, []table.Condition{{Key: "fence", Version: fence}}, nil)
	gomega.Expect(result.Status).To(gomega.Equal(table.Conflict))
}

func (s suite) listsChanges() {
	s.commit(nil, put("jobs/a", "1"), put("jobs/b", "1"), put("other/a", "1"))
	first := s.list(0)
	gomega.Expect(keys(first.Rows)).To(gomega.Equal([]string{"jobs/a", "jobs/b"}))
	gomega.Expect(first.Deleted).To(gomega.BeEmpty())
	s.commit(nil, put("jobs/c", "1"), table.Write{Key: "jobs/a", Delete: true}, table.Write{Key: "jobs/missing", Delete: true})
	second := s.list(first.Version)
	gomega.Expect(keys(second.Rows)).To(gomega.Equal([]string{"jobs/c"}))
	gomega.Expect(second.Deleted).To(gomega.Equal([]string{"jobs/a"}))
	third := s.list(second.Version)
	gomega.Expect(third.Rows).To(gomega.BeEmpty())
	gomega.Expect(third.Deleted).To(gomega.BeEmpty())
	gomega.Expect(third.Version).To(gomega.BeNumerically(">=", second.Version))
}

func (s suite) listsReinsert() {
	since := s.commit(nil, put("jobs/a", "1"))
	s.commit(nil, table.Write{Key: "jobs/a", Delete: true})
	version := s.commit(nil, put("jobs/a", "2"))
	listing := s.list(since)
	gomega.Expect(listing.Deleted).To(gomega.BeEmpty())
	gomega.Expect(listing.Rows).To(gomega.Equal([]table.Row{{Key: "jobs/a", Value: []byte("2"), Version: version}}))
}

func (s suite) keepsDeletions() {
	const laterWrites = 1500
	since := s.commit(nil, put("jobs/a", "1"))
	s.commit(nil, table.Write{Key: "jobs/a", Delete: true})
	for i := range laterWrites {
		s.commit(nil, put("jobs/b", fmt.Sprint(i)))
	}
	listing := s.list(since)
	gomega.Expect(listing.Deleted).To(gomega.Equal([]string{"jobs/a"}))
	gomega.Expect(keys(listing.Rows)).To(gomega.Equal([]string{"jobs/b"}))
}

// followsChanges guards against a listing whose version covers a commit that the
// listing does not contain.
func (s suite) followsChanges() {
	const rows = 200
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range rows {
			s.store.Commit(s.ctx, nil, []table.Write{put(fmt.Sprintf("jobs/%d", i), "1")})
		}
	})
	listed := map[string]bool{}
	since := int64(0)
	follow := func() int {
		listing := s.list(since)
		since = listing.Version
		for _, key := range keys(listing.Rows) {
			listed[key] = true
		}
		return len(listed)
	}
	gomega.Eventually(follow, "10s", "1ms").Should(gomega.Equal(rows))
	wg.Wait()
}

func (s suite) rejectsEndedContext() {
	ctx, cancel := context.WithCancel(s.ctx)
	cancel()
	result := s.store.Commit(ctx, nil, []table.Write{put("a", "1")})
	gomega.Expect(result.Status).To(gomega.Equal(table.Unavailable))
	gomega.Expect(result.Err).To(gomega.HaveOccurred())
	_, _, err := s.store.Get(ctx, "a")
	gomega.Expect(err).To(gomega.HaveOccurred())
	_, err = s.store.List(ctx, "", 0)
	gomega.Expect(err).To(gomega.HaveOccurred())
	_, ok := s.get("a")
	gomega.Expect(ok).To(gomega.BeFalse())
}

func (s suite) copiesValues() {
	value := []byte("kept")
	s.commit(nil, table.Write{Key: "a", Value: value})
	copy(value, "gone")
	row, _ := s.get("a")
	copy(row.Value, "lost")
	row, _ = s.get("a")
	gomega.Expect(string(row.Value)).To(gomega.Equal("kept"))
}
