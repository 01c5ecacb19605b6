package dispatch

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConstantsAreAsRecorded holds every tuned value against testdata/golden/constants.tsv, written by the code of 73ca247:
// a label and the value; times in nanoseconds.
func TestConstantsAreAsRecorded(t *testing.T) {
	values := []struct {
		label string
		value float64
	}{
		{"monitorTolerance", float64(monitorTolerance)},
		{"heldShare", float64(heldShare)},
		{"brokenHeld", float64(brokenHeld)},
		{"leastHeld", float64(leastHeld)},
		{"mostRejections", float64(mostRejections)},
		{"patientTurn", float64(patientTurn)},
		{"lookAgain", float64(lookAgain)},
		{"leastSilenceSeen", float64(leastSilenceSeen)},
		{"silenceTimes", float64(silenceTimes)},
		{"patienceShare", float64(patienceShare)},
		{"usualRank", float64(usualRank)},
		{"laggingRank", float64(laggingRank)},
		{"lateRank", float64(lateRank)},
		{"ranksPerTenant", float64(ranksPerTenant)},
		{"retryShare", float64(retryShare)},
		{"leastRetryAfter", float64(leastRetryAfter)},
		{"usualLoad", float64(usualLoad)},
		{"usualAdapterLoad", float64(usualAdapterLoad)},
		{"orderTime", float64(orderTime)},
		{"mostLooked", float64(mostLooked)},
		{"unknownAfter", float64(unknownAfter)},
		{"leastTargets", float64(leastTargets)},
		{"sweepEvery", float64(sweepEvery)},
		{"budgetShare", float64(budgetShare)},
		{"budgetSlots", float64(budgetSlots)},
		{"resumedShare", float64(resumedShare)},
		{"ordinaryShare", float64(ordinaryShare)},
		{"patientShare", float64(patientShare)},
		{"urgentRank", float64(urgentRank)},
		{"ringTrust", float64(ringTrust)},
		{"easyShare", float64(easyShare)},
		{"easyPrice", float64(easyPrice)},
		{"rereadPrice", float64(rereadPrice)},
		{"loadPrice", float64(loadPrice)},
		{"farPrice", float64(farPrice)},
		{"newPrice", float64(newPrice)},
		{"doubtPrice", float64(doubtPrice)},
		{"trialPrice", float64(trialPrice)},
		{"tiePrice", float64(tiePrice)},
		{"objectiveShare", float64(objectiveShare)},
		{"idleConnection", float64(idleConnection)},
		{"endHold", float64(endHold)},
		{"endReserve", float64(endReserve)},
		{"endMargin", float64(endMargin)},
		{"betweenUrgent", float64(betweenUrgent)},
		{"betweenLacks", float64(betweenLacks)},
		{"lackAgain", float64(lackAgain)},
		{"mostWorth", float64(mostWorth)},
		{"leastWorth", float64(leastWorth)},
		{"lineMemory", float64(lineMemory)},
		{"lineFades", float64(lineFades)},
		{"lineFadeStep", float64(lineFadeStep)},
		{"priorWeight", float64(priorWeight)},
		{"priorFirst", float64(priorFirst)},
		{"priorPerToken", float64(priorPerToken)},
		{"priorDuration", float64(priorDuration)},
		{"outlier", float64(outlier)},
		{"durationMemory", float64(durationMemory)},
		{"promptMemory", float64(promptMemory)},
		{"behindMemory", float64(behindMemory)},
		{"slowMemory", float64(slowMemory)},
		{"slowChance", float64(slowChance)},
		{"slowFades", float64(slowFades)},
		{"leastRatio", float64(leastRatio)},
		{"mostRatio", float64(mostRatio)},
		{"mostSlow", float64(mostSlow)},
		{"toldFades", float64(toldFades)},
		{"mostGuessed", float64(mostGuessed)},
		{"roomForMemory", float64(roomForMemory)},
		{"errorBuckets", float64(errorBuckets)},
		{"errorBucketSize", float64(errorBucketSize)},
		{"failureWeight", float64(failureWeight)},
		{"lossWeight", float64(lossWeight)},
		{"deadWeight", float64(deadWeight)},
		{"tripWeight", float64(tripWeight)},
		{"firstBackoff", float64(firstBackoff)},
		{"mostBackoff", float64(mostBackoff)},
		{"patientGap", float64(patientGap)},
		{"allDownShare", float64(allDownShare)},
		{"firstPause", float64(firstPause)},
		{"mostPause", float64(mostPause)},
		{"firstDistrust", float64(firstDistrust)},
		{"mostDistrust", float64(mostDistrust)},
		{"trialsOver", float64(trialsOver)},
		{"silentTimes", float64(silentTimes)},
		{"leastSilence", float64(leastSilence)},
		{"lately", float64(lately)},
		{"fairMemory", float64(fairMemory)},
		{"fairLeast", float64(fairLeast)},
		{"fairMargin", float64(fairMargin)},
		{"starvedPart", float64(starvedPart)},
		{"largeTimes", float64(largeTimes)},
		{"mostGraves", float64(mostGraves)},
		{"connectionShare", float64(connectionShare)},
		{"lengthMemory", float64(lengthMemory)},
		{"deviationMemory", float64(deviationMemory)},
		{"deviations", float64(deviations)},
		{"leastLengths", float64(leastLengths)},
		{"DefaultSlots", float64(DefaultSlots)},
		{"DefaultRouters", float64(DefaultRouterCount)},
		{"DefaultBudgetWindow", float64(DefaultRetryBudgetWindow)},
		{"DefaultQuotaWindow", float64(DefaultQuotaWindow)},
		{"DefaultMonitorPeriod", float64(DefaultMonitorPeriod)},
		{"DefaultReportEvery", float64(DefaultReportInterval)},
		{"prefixLife", float64(prefixLife)},
		{"maxPartsKept", float64(maxPartsKept)},
		{"noNode", float64(noNode)},
		{"presumeMargin", float64(presumeMargin)},
		{"presumePart", float64(presumePart)},
		{"firstPostpone", float64(firstPostpone)},
		{"mostPostpone", float64(mostPostpone)},
		{"floorShare", float64(floorShare)},
		{"toleranceShare", float64(toleranceShare)},
		{"longQuotaWait", float64(longQuotaWait)},
		{"mostQuotaHold", float64(mostQuotaHold)},
		{"quotaDrought", float64(quotaDrought)},
		{"mostSettled", float64(mostSettled)},
		{"shortQueue", float64(shortQueue)},
		{"exploreGap", float64(exploreGap)},
		{"overCalls", float64(overCalls)},
		{"overLeast", float64(overLeast)},
		{"yieldFor", float64(yieldFor)},
		{"yieldMost", float64(yieldMost)},
		{"yieldNot", float64(yieldNot)},
		{"yieldMemory", float64(yieldMemory)},
	}
	content, err := os.ReadFile(filepath.Join("testdata", "golden", "constants.tsv"))
	if err != nil {
		t.Fatalf("read the record: %v", err)
	}
	want := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	if len(values) != len(want) {
		t.Fatalf("%d constants, want %d", len(values), len(want))
	}
	for i, v := range values {
		if got := v.label + "\t" + goldenExact(v.value); got != want[i] {
			t.Errorf("constant %d is %q, want %q", i, got, want[i])
		}
	}
	if hashSeed != uint64(0x9e3779b97f4a7c15) || hashMultplier != uint64(0xff51afd7ed558ccd) {
		t.Errorf("hash constants %x and %x, want those of 73ca247: routers agree by them", uint64(hashSeed), uint64(hashMultplier))
	}
}
