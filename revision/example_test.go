package revision_test

import (
	"context"
	"fmt"

	"github.com/samphirepath/samphirepath/revision"
)

// Two operators change the same revision. The second change conflicts, and its result
// contains the current revision.
func Example() {
	ctx := context.Background()
	writer := revision.NewWriter(newFakeStore(), "configuration/")
	rows := func(r revision.Metadata) (revision.Rows, error) {
		head := fmt.Sprintf(`{"revision":%d,"write":%q,"colour":"green"}`, r.Revision, r.WriteID)
		return revision.Rows{Head: []byte(head)}, nil
	}

	base, _ := writer.Read(ctx)
	first := writer.Write(ctx, base, rows)
	second := writer.Write(ctx, base, rows)
	fmt.Println(first.Status == revision.Accepted, first.Current.Revision)
	fmt.Println(second.Status == revision.Conflict, second.Current.Revision)

	var latest revision.Latest[string]
	latest.Update(first.Current.Revision, "green")
	fmt.Println(latest.Update(0, "red"))
	// Output:
	// true 1
	// true 1
	// false
}
