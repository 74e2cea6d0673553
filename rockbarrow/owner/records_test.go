// SPDX-License-Identifier: MIT

package owner

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/recordpb"
)

// FuzzRecords checks that no payload makes the state exceed its budget.
func FuzzRecords(f *testing.F) {
	raw, err := proto.Marshal(&recordpb.Batch{Records: []*recordpb.Record{
		{Body: &recordpb.Record_Created{Created: &recordpb.Created{Run: "d.r", BudgetTokens: 100}}},
		{Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{Sequence: 1, Attempt: 1, ReserveTokens: 50, Repeatable: true}}},
		{Body: &recordpb.Record_Answered{Answered: &recordpb.Answered{Sequence: 1, Attempt: 1, PromptTokens: 3}}},
		{Body: &recordpb.Record_Carved{Carved: &recordpb.Carved{Child: "k", Tokens: 9}}},
		{Body: &recordpb.Record_Returned{Returned: &recordpb.Returned{Child: "k", Tokens: 9}}},
		{Body: &recordpb.Record_Ended{Ended: &recordpb.Ended{Reason: "x"}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s program.State
		for _, r := range DecodeRecords(raw) {
			open := s.OpenTurn() != nil
			if err := s.Apply(r); err != nil {
				continue
			}
			in := r.GetIntent()
			if in != nil && (s.Spent()+s.Reserved() > s.Created().GetBudgetTokens() || in.GetReserveTokens() > s.Created().GetBudgetTokens()) {
				t.Fatalf("an intent was applied that the budget does not cover (open before: %v)", open)
			}
		}
	})
}
