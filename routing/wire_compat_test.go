package routing

import (
	"testing"

	"spantack/internal/testfixture"
)

// The settings must keep the field names of the wire protocol.
func TestSettingsKeepWireNames(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/settings.json", "", Settings{
		Classes: []Class{
			{
				Name:                "s1",
				ObjectiveSizeFactor: 2.5,
				Deadline:            3,
				LatencyObjective:    4,
				PriorityWeight:      5.5,
				LateWeightFactor:    6.5,
				DeduplicationScope:  "s7",
				Idempotency:         "s8",
				DeduplicationWindow: 9,
				Streaming:           true,
			},
			{
				Name:                "s10",
				ObjectiveSizeFactor: 11.5,
				Deadline:            12,
				LatencyObjective:    13,
				PriorityWeight:      14.5,
				LateWeightFactor:    15.5,
				DeduplicationScope:  "s16",
				Idempotency:         "s17",
				DeduplicationWindow: 18,
				Streaming:           true,
			},
		},
		Discovery: "s19",
		Hierarchy: CacheHierarchy{
			FreshnessLifetime:      []int64{20, 21},
			StaleGracePeriod:       []int64{22, 23},
			PurgeGracePeriod:       24,
			OriginKind:             25,
			Chunked:                []bool{true, true},
			PeerSources:            "s26",
			CacheStatusReporting:   "s27",
			ResponseKBPerSecond:    28.5,
			ParentInitialCapacity:  29.5,
			ParentWarmUpTime:       30,
			Uncacheable:            []bool{true, true},
			PurgePropagationTime:   31,
			RoutersByZone:          []int{32, 33},
			CollapsesFills:         true,
			ParentKind:             34,
			StaleWeightFactor:      []float64{35.5, 36.5},
			AllowsDirectFetch:      true,
			TransitPenalty:         37.5,
			ParentOverloadMultiple: 38.5,
			ZoneLinkKBPerSecond:    []float64{39.5, 40.5},
		},
		Guarantees: Guarantees{
			MaxResubscribeDelay: 41,
			WarmUpTime:          42,
			InitialCapacity:     43.5,
			OverloadWindow:      44,
			AnswerGracePeriod:   45,
			DrainGracePeriod:    46,
			OverloadMultiple:    47.5,
		},
		Kinds: []string{"s48", "s49"},
		Permissions: Permissions{
			MayCancel:       true,
			DialTimeout:     50,
			MaxAttempts:     51,
			MaxRetryAfter:   52,
			MayProbe:        true,
			SendsRetryAfter: true,
			MayHedge:        true,
		},
		Penalties:     Penalties{Origin: 53.5, Probe: 54.5, Waste: 55.5},
		LoadReporting: LoadReporting{Fields: []string{"s56", "s57"}, Delivery: "s58"},
		FleetSize:     59,
		Tenants: []Tenant{
			{Name: "s60", QuotaPerSecond: 61.5, ServiceShare: 62.5},
			{Name: "s63", QuotaPerSecond: 64.5, ServiceShare: 65.5},
		},
		WeightSource:          "s66",
		Zone:                  "s67",
		Zones:                 []string{"s68", "s69"},
		OverQuotaWeightFactor: 70.5,
	})
}

// The learned state must keep its stored field names. Otherwise a process of another release cannot read it.
func TestLearnedStateKeepsStoredNames(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/beliefs.json", "", LearnedState{
		TakenAt: 1,
		Servers: []ServerState{
			{
				Name:             "s2",
				StartedAt:        3,
				ConcurrencyLimit: 4.5,
				LimitReducedAt:   5,
				MissRatio:        6.5,
				AnswerCount:      7.5,
				RecentAnswers:    DecayingSum{Sum: 8.5, UpdatedAt: 9},
				RecentWork:       DecayingSum{Sum: 10.5, UpdatedAt: 11},
				ColdSends: []ColdSend{
					{SentAt: 12, Work: 13.5},
					{SentAt: 14, Work: 15.5},
				},
				ColdDrawAt:         16,
				ColdDraw:           17.5,
				BreakerOpenUntil:   18,
				BreakerTrialFailed: true,
				OutcomeWeights:     [8]float64{19.5, 20.5, 21.5, 22.5, 23.5, 24.5, 25.5, 26.5},
				FailureWeights:     [8]float64{27.5, 28.5, 29.5, 30.5, 31.5, 32.5, 33.5, 34.5},
				NextOutcome:        35,
			},
			{
				Name:             "s36",
				StartedAt:        37,
				ConcurrencyLimit: 38.5,
				LimitReducedAt:   39,
				MissRatio:        40.5,
				AnswerCount:      41.5,
				RecentAnswers:    DecayingSum{Sum: 42.5, UpdatedAt: 43},
				RecentWork:       DecayingSum{Sum: 44.5, UpdatedAt: 45},
				ColdSends: []ColdSend{
					{SentAt: 46, Work: 47.5},
					{SentAt: 48, Work: 49.5},
				},
				ColdDrawAt:         50,
				ColdDraw:           51.5,
				BreakerOpenUntil:   52,
				BreakerTrialFailed: true,
				OutcomeWeights:     [8]float64{53.5, 54.5, 55.5, 56.5, 57.5, 58.5, 59.5, 60.5},
				FailureWeights:     [8]float64{61.5, 62.5, 63.5, 64.5, 65.5, 66.5, 67.5, 68.5},
				NextOutcome:        69,
			},
		},
		OriginFills: ServerState{
			Name:             "s70",
			StartedAt:        71,
			ConcurrencyLimit: 72.5,
			LimitReducedAt:   73,
			MissRatio:        74.5,
			AnswerCount:      75.5,
			RecentAnswers:    DecayingSum{Sum: 76.5, UpdatedAt: 77},
			RecentWork:       DecayingSum{Sum: 78.5, UpdatedAt: 79},
			ColdSends: []ColdSend{
				{SentAt: 80, Work: 81.5},
				{SentAt: 82, Work: 83.5},
			},
			ColdDrawAt:         84,
			ColdDraw:           85.5,
			BreakerOpenUntil:   86,
			BreakerTrialFailed: true,
			OutcomeWeights:     [8]float64{87.5, 88.5, 89.5, 90.5, 91.5, 92.5, 93.5, 94.5},
			FailureWeights:     [8]float64{95.5, 96.5, 97.5, 98.5, 99.5, 100.5, 101.5, 102.5},
			NextOutcome:        103,
		},
		PeakWorkRates: []float64{104.5, 105.5},
		Classes: []ClassState{
			{Name: "s106", MeanSendTime: 107.5, TailMultiple: 108.5},
			{Name: "s109", MeanSendTime: 110.5, TailMultiple: 111.5},
		},
		RecentRequests: map[string]int{"s112": 113, "s114": 115},
		CancelBudget:   116.5,
	})
}
