package control

import (
	"github.com/spf13/cobra"
)

func newReportCommand(*flags) *cobra.Command { return &cobra.Command{Use: "report", Hidden: true} }
