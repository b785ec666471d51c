package schedule_test

import (
	"testing"

	"github.com/lycheerudder/lycheerudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.DefaultChecks) }
