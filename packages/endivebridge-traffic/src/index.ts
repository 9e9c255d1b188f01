export { type AttemptAges, makeAttemptAges } from "./AttemptAges";
export { type ColdLimit, makeColdLimit } from "./ColdLimit";
export type { CallerLimits, Route, RouteTarget, Service, TrafficConfiguration } from "./Configuration";
export { hashText, mixHashes } from "./Hash";
export { type Hedging, makeHedging } from "./Hedging";
export { makeMembers, type MemberRecord, type MemberReport, type Members } from "./Members";
export {
    currentSlowness,
    makePlacement,
    type Placed,
    type Placement,
    type PlacementRequest,
    type PlacementView,
    type Unplaced
} from "./Placement";
export { firstShareFactor, makeRegionBalance, type RegionBalance, type ServiceUse } from "./RegionBalance";
export { makeRetryBudget, type RetryBudget, type RetryBudgetLimits } from "./RetryBudget";
export { makeRouteTable, type RouteTable } from "./RouteTable";
export { type BackendServer, makeServerPool, type ServerPool, type TrackedServer } from "./ServerPool";
export { makeSlidingCount, type SlidingCount } from "./SlidingCount";
export { makeSplitChoice, type SplitChoice } from "./SplitChoice";
export { makeWaitingRoom, type RefusalReason, type Waiter, type WaitingRoom } from "./WaitingRoom";
export { makeWorkEstimates, type WorkEstimates } from "./WorkEstimates";
