package refplatform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// TableClient is the client of the table service.
type TableClient struct {
	*caller
	base string
}

var _ table.Store = (*TableClient)(nil)

// NewTable returns a client of the table service.
func NewTable(c Config) (*TableClient, error) {
	base, err := baseURL(c.URL)
	if err != nil {
		return nil, err
	}
	c = c.withDefaults("table", DefaultTimeout, DefaultServiceConnections, defaultTableAnswerBytes)
	return &TableClient{caller: newCaller(c), base: base}, nil
}

// Get returns the row and whether it exists.
func (t *TableClient) Get(ctx context.Context, key string) (table.Row, bool, error) {
	query := url.Values{ParamKey: {key}}
	got, err := t.get(ctx, "table get", t.base+PathRow+"?"+query.Encode())
	if err != nil {
		return table.Row{}, false, err
	}
	switch {
	case got.status == http.StatusOK:
		row, err := decodeRow(got.body, key)
		return row, err == nil, err
	case got.absent():
		return table.Row{}, false, nil
	default:
		return table.Row{}, false, got.statusError()
	}
}

// List returns the changes below the prefix after version since; 0 returns all rows.
func (t *TableClient) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	query := url.Values{ParamPrefix: {prefix}, ParamSince: {strconv.FormatInt(since, 10)}}
	got, err := t.get(ctx, "table list", t.base+PathRows+"?"+query.Encode())
	if err != nil {
		return table.Listing{}, err
	}
	if got.status != http.StatusOK {
		return table.Listing{}, got.statusError()
	}
	return decodeListing(got.body, prefix, since)
}

// Commit applies all writes if all conditions hold, otherwise none.
func (t *TableClient) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if err := checkKeys(conditions, writes); err != nil {
		return failedCommit(&CallError{cause: err})
	}
	got, err := t.postJSON(ctx, "table commit", t.base+PathCommit, commitMessage(conditions, writes))
	if err != nil {
		return failedCommit(err)
	}
	return commitResult(got)
}

// checkKeys rejects keys that are not valid UTF-8: the JSON encoder would replace
// their invalid bytes, and the commit would change another row.
func checkKeys(conditions []table.Condition, writes []table.Write) error {
	for _, c := range conditions {
		if !utf8.ValidString(c.Key) {
			return eris.Errorf("key %q of a condition is not valid UTF-8", c.Key)
		}
	}
	for _, w := range writes {
		if !utf8.ValidString(w.Key) {
			return eris.Errorf("key %q of a write is not valid UTF-8", w.Key)
		}
	}
	return nil
}

// commitMessage returns the message that requests a commit.
func commitMessage(conditions []table.Condition, writes []table.Write) api.TableCommit {
	message := api.TableCommit{
		Conditions: make([]api.TableCondition, 0, len(conditions)),
		Writes:     make([]api.TableWrite, 0, len(writes)),
	}
	for _, c := range conditions {
		message.Conditions = append(message.Conditions, api.TableCondition(c))
	}
	for _, w := range writes {
		message.Writes = append(message.Writes, api.TableWrite{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return message
}

// commitResult derives the result of a commit from the answer. The outcome is unknown
// unless the answer is a valid commit, a valid conflict or a refusal without effect.
func commitResult(got answer) table.CommitResult {
	switch got.status {
	case http.StatusOK:
		version, err := decodeCommitted(got.body)
		if err != nil {
			return failedCommit(invalidAnswer(err))
		}
		return table.CommitResult{Status: table.Committed, Version: version}
	case http.StatusConflict:
		keys, err := decodeConflict(got.body)
		if err != nil {
			return failedCommit(invalidAnswer(err))
		}
		return table.CommitResult{Status: table.Conflict, Conflicts: keys}
	default:
		return failedCommit(got.statusError())
	}
}

// failedCommit returns the result of a commit that failed with an error: Unavailable if
// the commit certainly took no effect, otherwise Unknown.
func failedCommit(err error) table.CommitResult {
	if NotApplied(err) {
		return table.CommitResult{Status: table.Unavailable, Err: err}
	}
	return table.CommitResult{Status: table.Unknown, Err: err}
}
