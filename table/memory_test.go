package table_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/table"
	"github.com/samphirepath/samphirepath/table/tabletest"
)

func TestTable(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "table")
}

var _ = ginkgo.Describe("Memory", func() {
	tabletest.Contract(func() table.Store { return table.NewMemory() })
})
