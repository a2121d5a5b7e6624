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

// Run prints the catalogue.
func (c *catalogueGet) Run(env *environment) error {
	current, err := env.configuration()
	if err != nil {
		return err
	}
	if env.asJSON {
		return env.showJSON(current)
	}
	return env.showJSON(current.Catalogue)
}

type catalogueDiff struct {
	File string `arg:"" help:"TOML or JSON file." type:"existingfile"`
}

// Run shows the difference.
func (c *catalogueDiff) Run(env *environment) error {
	var wanted api.Catalogue
	if err := readFile(c.File, &wanted); err != nil {
		return err
	}
	current, err := env.configuration()
	if err != nil {
		return err
	}
	text, err := diffText(current.Catalogue, wanted, c.File)
	if err != nil {
		return err
	}
	env.say("%s", text)
	return nil
}

func diffText(current, wanted api.Catalogue, name string) (string, error) {
	a, err := json.MarshalIndent(current, "", "  ")
	if err != nil {
		return "", err
	}
	b, err := json.MarshalIndent(wanted, "", "  ")
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

// Run applies the file.
func (c *catalogueApply) Run(env *environment) error {
	var wanted api.Catalogue
	if err := readFile(c.File, &wanted); err != nil {
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
	head, err := decode[api.ConfigurationHead](env.api.ApplyCatalogue(env.ctx, api.CatalogueApply{
		ExpectedRevision: expected, Catalogue: wanted, ChangedBy: operatorName(c.By), Comment: c.Comment,
	}))
	if err != nil {
		return err
	}
	return env.showHeads(head, head)
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unnamed"
}

type catalogueHistory struct {
	Limit int `help:"Newest revisions to show." default:"20"`
}

// Run lists revisions.
func (c *catalogueHistory) Run(env *environment) error {
	list, err := decode[api.ConfigurationList](env.api.GetCatalogueHistory(env.ctx, &api.GetCatalogueHistoryParams{Limit: c.Limit}))
	if err != nil {
		return err
	}
	return env.showHeads(list, list.Heads...)
}

func (e *environment) showHeads(value any, heads ...api.ConfigurationHead) error {
	rows := make([][]string, 0, len(heads))
	for _, head := range heads {
		rows = append(rows, []string{
			strconv.FormatInt(head.Revision, 10), timeText(head.ChangedMs), orDash(head.ChangedBy), orDash(head.Comment),
		})
	}
	return e.show(value, "REVISION CHANGED BY COMMENT", rows)
}
