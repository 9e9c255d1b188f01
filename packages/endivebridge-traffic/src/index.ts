export { type AttemptAgeEstimator, makeAttemptAgeEstimator } from "./AttemptAgeEstimator";
export type { CallerLimits, Route, RouteTarget, Service, TrafficConfiguration } from "./Configuration";
export { hashText, mixHashes } from "./Hash";
export { type Hedging, makeHedging } from "./Hedging";
export { type LiveMember, makeMembers, type MemberRecord, type MemberReport, type Members } from "./Members";
export {
    currentSlowness,
    makePlacement,
    type Placed,
    type Placement,
    type PlacementRequest,
    type PlacementView,
    type Unplaced
} from "./Placement";
export { computeRateLimitShare, type RateLimitSharer } from "./RateLimitShare";
export { initialShareFactor, makeRegionBalance, type RegionBalance, type ServiceUse } from "./RegionBalance";
export { makeRequestQueue, type RefusalReason, type RequestQueue, type Waiter } from "./RequestQueue";
export { makeRetryBudget, type RetryBudget, type RetryBudgetLimits } from "./RetryBudget";
export { makeRouteTable, type RouteTable } from "./RouteTable";
export { type BackendServer, isLeaving, makeServerPool, type ServerPool, type TrackedServer } from "./ServerPool";
export {
    makeServerRateLimit,
    type RateLimit,
    type RateLimitObservation,
    type ServerRateLimit
} from "./ServerRateLimit";
export { initialEstimateMillis, makeServiceTimeEstimates, type ServiceTimeEstimates } from "./ServiceTimeEstimates";
export { makeSingleTokenBucket, type SingleTokenBucket } from "./SingleTokenBucket";
export { makeSlidingCount, type SlidingCount } from "./SlidingCount";
export { makeTrafficSplit, type TrafficSplit } from "./TrafficSplit";
