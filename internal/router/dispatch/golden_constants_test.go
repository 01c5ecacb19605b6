package dispatch

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConstantsAreAsRecorded compares every tuned constant with testdata/golden/constants.tsv, which has a label and
// a value per line, times in nanoseconds. The record was written by the code of 73ca247, of docs/results/decisions.md
// and, for the constants that concern credit, of docs/results/leader-loss.md. Some labels differ from the constants'
// present names.
func TestConstantsAreAsRecorded(t *testing.T) {
	values := []struct {
		label string
		value float64
	}{
		{"monitorTolerance", float64(monitorTolerance)},
		{"heldShare", float64(queueTargetFraction)},
		{"brokenHeld", float64(resumeQueueTimeout)},
		{"leastHeld", float64(minQueueTime)},
		{"mostRejections", float64(maxRejections)},
		{"patientTurn", float64(oldestTurnInterval)},
		{"lookAgain", float64(recheckInterval)},
		{"leastSilenceSeen", float64(minClientIdleTimeout)},
		{"silenceTimes", float64(clientIdleTimeoutFactor)},
		{"patienceShare", float64(usefulTimeoutFraction)},
		{"usualRank", float64(normalPriority)},
		{"laggingRank", float64(underservedPriority)},
		{"lateRank", float64(pastTargetPriority)},
		{"ranksPerTenant", float64(ranksPerTenantPriority)},
		{"retryShare", float64(retryAfterDivisor)},
		{"leastRetryAfter", float64(minRetryAfter)},
		{"usualLoad", float64(defaultModelLoadTime)},
		{"usualAdapterLoad", float64(defaultAdapterLoadTime)},
		{"orderTime", float64(loadOrderDelay)},
		{"mostLooked", float64(maxQueueScan)},
		{"unknownAfter", float64(unknownModelRetryAfter)},
		{"leastTargets", float64(minTrackedTargets)},
		{"sweepEvery", float64(sweepInterval)},
		{"budgetShare", float64(budgetUtilization)},
		{"budgetSlots", float64(budgetSlices)},
		{"resumedShare", float64(resumedBudgetShare)},
		{"ordinaryShare", float64(normalBudgetShare)},
		{"patientShare", float64(lowPriorityBudgetShare)},
		{"urgentRank", float64(maxUrgentPriority)},
		{"ringTrust", float64(rendezvousHitProbability)},
		{"easyShare", float64(relaxedFraction)},
		{"easyPrice", float64(relaxedTimeCost)},
		{"rereadPrice", float64(cacheMissCost)},
		{"loadPrice", float64(utilizationCostMS)},
		{"sizeMismatchCostMS", float64(sizeMismatchCostMS)},
		{"sizeDecay", float64(sizeDecay)},
		{"minSizeObservation", float64(minSizeSamples)},
		{"farPrice", float64(crossZoneCostMS)},
		{"newPrice", float64(dialCostMS)},
		{"doubtPrice", float64(possiblyDownCostMS)},
		{"trialPrice", float64(recoveringCostMS)},
		{"tiePrice", float64(tieBreakCostMS)},
		{"objectiveShare", float64(targetFraction)},
		{"idleConnection", float64(connectionIdleTimeout)},
		{"endHold", float64(shutdownQueueTimeout)},
		{"endReserve", float64(shutdownReserveDivisor)},
		{"endMargin", float64(shutdownMargin)},
		{"betweenUrgent", float64(minUrgentReportInterval)},
		{"lackAgain", float64(shortageReportInterval)},
		{"mostWorth", float64(maxRequestValue)},
		{"leastWorth", float64(minRequestValue)},
		{"lineMemory", float64(regressionDecay)},
		{"lineFades", float64(regressionTimeConstant)},
		{"lineFadeStep", float64(regressionDecayInterval)},
		{"priorWeight", float64(priorWeight)},
		{"priorFirst", float64(priorFirstByteMS)},
		{"priorPerToken", float64(priorMSPerThousandTokens)},
		{"priorDuration", float64(priorDurationMS)},
		{"outlier", float64(outlierFactor)},
		{"durationMemory", float64(durationSmoothing)},
		{"promptMemory", float64(prefillSmoothing)},
		{"behindMemory", float64(pastTargetSmoothing)},
		{"slowMemory", float64(slownessSmoothing)},
		{"slowChance", float64(slownessNoise)},
		{"slowFades", float64(slownessTimeConstant)},
		{"leastRatio", float64(minSlownessRatio)},
		{"mostRatio", float64(maxSlownessRatio)},
		{"mostSlow", float64(maxLogSlowness)},
		{"toldFades", float64(advertisedLoadTimeConstant)},
		{"mostGuessed", float64(maxAssumedUtilization)},
		{"roomForMemory", float64(maxKVUtilization)},
		{"errorBuckets", float64(errorBuckets)},
		{"errorBucketSize", float64(errorBucketSize)},
		{"failureWeight", float64(failureWeight)},
		{"lossWeight", float64(connectionLossWeight)},
		{"deadWeight", float64(unreachableWeight)},
		{"tripWeight", float64(ejectionThreshold)},
		{"firstBackoff", float64(minEjectionBackoff)},
		{"mostBackoff", float64(maxEjectionBackoff)},
		{"patientGap", float64(nonRetryableProbeInterval)},
		{"allDownShare", float64(massEjectionFraction)},
		{"firstPause", float64(minRejectionBackoff)},
		{"mostPause", float64(maxRejectionBackoff)},
		{"firstDistrust", float64(minMisdirectionTTL)},
		{"mostDistrust", float64(maxMisdirectionTTL)},
		{"trialsOver", float64(recoveredProbes)},
		{"silentTimes", float64(responseTimeoutFactor)},
		{"leastSilence", float64(minResponseTimeout)},
		{"lately", float64(recentSuccessWindow)},
		{"fairMemory", float64(fairnessDecay)},
		{"fairLeast", float64(minFairnessSamples)},
		{"fairMargin", float64(fairnessNoise)},
		{"starvedPart", float64(starvationRatio)},
		{"largeTimes", float64(largeRequestFactor)},
		{"mostGraves", float64(maxTombstones)},
		{"connectionShare", float64(routerConnectionFraction)},
		{"lengthMemory", float64(durationMeanGain)},
		{"deviationMemory", float64(durationDeviationGain)},
		{"deviations", float64(deviationFactor)},
		{"leastLengths", float64(minDurationSamples)},
		{"DefaultSlots", float64(DefaultSlots)},
		{"DefaultRouters", float64(DefaultRouterCount)},
		{"DefaultBudgetWindow", float64(DefaultRetryBudgetWindow)},
		{"DefaultQuotaWindow", float64(DefaultQuotaWindow)},
		{"DefaultMonitorPeriod", float64(DefaultMonitorPeriod)},
		{"DefaultReportEvery", float64(DefaultReportInterval)},
		{"prefixLife", float64(prefixTTL)},
		{"maxPartsKept", float64(maxCachedParts)},
		{"noNode", float64(noNode)},
		{"presumeMargin", float64(loadMargin)},
		{"presumePart", float64(loadMarginFraction)},
		{"firstPostpone", float64(minLoadPostponement)},
		{"mostPostpone", float64(maxLoadPostponement)},
		{"mostSettled", float64(maxDeferrals)},
		{"shortQueue", float64(shortQueueFraction)},
		{"exploreGap", float64(explorationInterval)},
		{"overCalls", float64(overloadBackoffCalls)},
		{"overLeast", float64(minOverloadBackoffFraction)},
		{"quotaQueueFraction", float64(quotaQueueFraction)},
		{"minQuotaQueueTime", float64(minQuotaQueueTime)},
		{"maxQuotaQueueTime", float64(maxQuotaQueueTime)},
		{"longQuotaRetry", float64(unansweredQuotaRetryAfter)},
		{"lastTryFraction", float64(retryQuotaQueueFraction)},
		{"maxLastTryTime", float64(maxRetryQuotaQueueTime)},
		{"maxRefusalTime", float64(maxRefusalTTL)},
		{"creditInquiryTimeout", float64(creditRequestTimeout)},
		{"creditAheadTime", float64(creditAdvanceTime)},
		{"minAheadRequests", float64(minAdvanceRequests)},
		{"lowAheadFraction", float64(lowAdvanceFraction)},
		{"demandTime", float64(demandTimeConstant)},
		{"creditRounding", float64(creditTolerance)},
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
	if hashSeed != uint64(0x9e3779b97f4a7c15) || hashMultiplier != uint64(0xff51afd7ed558ccd) {
		t.Errorf("hash constants %x and %x, want those of 73ca247: routers agree by them", uint64(hashSeed), uint64(hashMultiplier))
	}
}
