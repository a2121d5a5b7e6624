package guarantee_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGuarantee(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guarantee")
}
