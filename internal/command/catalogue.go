package command

import (
	"encoding/json"
	"os/user"
	"strconv"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/samphirepath/samphirepath/api"
)

type catalogueCommands struct {
	Get     catalogueGet     `cmd:"" help:"Print the catalogue in force as JSON."`
	Diff    catalogueDiff    `cmd:"" help:"Show what a file would change."`
	Apply   catalogueApply   `cmd:"" help:"Replace the catalogue by a file."`
	History catalogueHistory `cmd:"" help:"List accepted revisions."`
}

type catalogueGet struct{}

// Run prints the catalogue in force, or with JSON output the whole configuration.
func (c *catalogueGet) Run(env *environment) error {
	current, err := env.configuration()
	if err != nil {
		return err
	}
	if env.asJSON {
		return env.printJSON(current)
	}
	return env.printJSON(current.Catalogue)
}

type catalogueDiff struct {
	File string `arg:"" help:"TOML or JSON file." type:"existingfile"`
}

// Run prints a unified diff from the catalogue in force to the file.
func (c *catalogueDiff) Run(env *environment) error {
	var desired api.Catalogue
	if err := readFile(c.File, &desired); err != nil {
		return err
	}
	current, err := env.configuration()
	if err != nil {
		return err
	}
	text, err := unifiedDiff(current.Catalogue, desired, c.File)
	if err != nil {
		return err
	}
	env.printLine("%s", text)
	return nil
}

func unifiedDiff(current, desired api.Catalogue, name string) (string, error) {
	a, err := json.MarshalIndent(current, "", "  ")
	if err != nil {
		return "", err
	}
	b, err := json.MarshalIndent(desired, "", "  ")
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(a)), B: difflib.SplitLines(string(b)),
		FromFile: "in force", ToFile: name, Context: 3,
	})
}

type catalogueApply struct {
	File     string `arg:"" help:"TOML or JSON file." type:"existingfile"`
	Expected int64  `help:"Apply only if this is the current revision; the revision just read by default." default:"-1"`
	Comment  string `help:"Why; kept in the history."`
	By       string `help:"Who; the name of the user by default." env:"SAMPHIREPATH_OPERATOR"`
}

// Run replaces the catalogue by the content of the file.
func (c *catalogueApply) Run(env *environment) error {
	var desired api.Catalogue
	if err := readFile(c.File, &desired); err != nil {
		return err
	}
	expected := c.Expected
	if expected < 0 {
		current, err := env.configuration()
		if err != nil {
			return err
		}
		expected = current.Head.Revision
	}
	head, err := decodeResponse[api.ConfigurationHead](env.client.ApplyCatalogue(env.ctx, api.CatalogueApply{
		ExpectedRevision: expected, Catalogue: desired, ChangedBy: operatorName(c.By), Comment: c.Comment,
	}))
	if err != nil {
		return err
	}
	return env.printHeads(head, head)
}

func operatorName(flag string) string {
	if flag != "" {
		return flag
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unnamed"
}

type catalogueHistory struct {
	Limit int `help:"Newest revisions to show." default:"20"`
}

// Run lists the newest accepted revisions.
func (c *catalogueHistory) Run(env *environment) error {
	list, err := decodeResponse[api.ConfigurationList](env.client.GetCatalogueHistory(env.ctx, &api.GetCatalogueHistoryParams{Limit: c.Limit}))
	if err != nil {
		return err
	}
	return env.printHeads(list, list.Heads...)
}

func (e *environment) printHeads(value any, heads ...api.ConfigurationHead) error {
	rows := make([][]string, 0, len(heads))
	for _, head := range heads {
		rows = append(rows, []string{
			strconv.FormatInt(head.Revision, 10), formatTime(head.ChangedMs), orDash(head.ChangedBy), orDash(head.Comment),
		})
	}
	return e.printValue(value, "REVISION CHANGED BY COMMENT", rows)
}
