package audit

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// history is valid: b borrows 3 of a's 5 from 10 to 20, and returns them at 18.
func history() []Record {
	loan := func(k Kind, member string, from, to int64) Record {
		return Record{Kind: k, Member: member, Epoch: 1, From: from, To: to, Quota: "w", Loan: "b/1/1", Lender: "a", Borrower: "b", Amount: 3}
	}
	own := func(member string, from, to int64, amount float64) Record {
		return Record{Kind: Use, Member: member, Epoch: 1, From: from, To: to, Quota: "w", Amount: amount}
	}
	return []Record{
		{Kind: Incarnation, Member: "a", Epoch: 1, To: 30},
		{Kind: Incarnation, Member: "b", Epoch: 1, To: 25},
		{Kind: Incarnation, Member: "b", Epoch: 2, From: 26, To: 40},
		{Kind: Size, Member: "a", Epoch: 1, To: 40, Quota: "w", Amount: 10},
		own("a", 0, 10, 5), own("a", 10, 19, 2), own("a", 19, 30, 5), own("b", 0, 25, 5),
		loan(Lent, "a", 10, 19), loan(Borrowed, "b", 11, 18), loan(Use, "b", 11, 18), loan(Returned, "b", 18, 18),
	}
}

func TestCheck(t *testing.T) {
	const lent, borrowed, used, returned = 8, 9, 10, 11
	for name, c := range map[string]struct {
		edit func([]Record)
		want []string
	}{
		"valid":               {func([]Record) {}, nil},
		"lender too early":    {func(h []Record) { h[5].To, h[6].From = 15, 15 }, []string{QuotaExceeded}},
		"size shrinks":        {func(h []Record) { h[3].Amount = 9 }, []string{QuotaExceeded, QuotaExceeded, QuotaExceeded}},
		"no size":             {func(h []Record) { h[3].To = 20 }, []string{NoSize}},
		"lent too short":      {func(h []Record) { h[lent].To = 17 }, []string{UsedByBoth, UsedByBoth}},
		"used after return":   {func(h []Record) { h[returned].From = 14 }, []string{UsedAfterEnd}},
		"used after end":      {func(h []Record) { h[returned].From, h[returned].Kind = 14, Ended }, []string{UsedAfterEnd}},
		"used without a loan": {func(h []Record) { h[borrowed].To = 16 }, []string{UsedAfterEnd}},
		"outside incarnation": {func(h []Record) { h[1].To = 24 }, []string{UsedOutsideIncarnation}},
		"later epoch runs":    {func(h []Record) { h[2].From = 24 }, []string{UsedOutsideIncarnation}},
		"never ran":           {func(h []Record) { h[used].Epoch = 7 }, []string{UsedOutsideIncarnation}},
		"malformed":           {func(h []Record) { h[4].Amount = math.NaN() }, []string{Malformed}},
	} {
		t.Run(name, func(t *testing.T) {
			h := history()
			c.edit(h)
			var got []string
			for _, v := range Check(h) {
				got = append(got, v.Rule)
				if len(v.Records) == 0 {
					t.Errorf("%s lists no record", v.Rule)
				}
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d, Check(h))
			}
		})
	}
}

// The reported violations agree with a sum at each instant.
func TestSumsAgreeWithEachInstant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := []Record{{Kind: Size, Quota: "w", To: 30, Amount: 10}}
		for range rapid.IntRange(0, 12).Draw(t, "n") {
			from := rapid.Int64Range(0, 19).Draw(t, "from")
			rs = append(rs, Record{
				Kind: Use, Quota: "w", From: from, To: from + rapid.Int64Range(0, 9).Draw(t, "duration"),
				Amount: float64(rapid.IntRange(0, 6).Draw(t, "amount")),
			})
		}
		var want, got []int64
		exceeded := false
		for at := range int64(30) {
			sum := 0.0
			for _, r := range rs[1:] {
				if r.From <= at && at < r.To {
					sum += r.Amount
				}
			}
			if sum > 10 && !exceeded {
				want = append(want, at)
			}
			exceeded = sum > 10
		}
		for _, v := range Check(rs) {
			got = append(got, v.At)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}
