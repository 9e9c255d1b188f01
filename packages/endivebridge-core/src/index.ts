export {
    canQueue,
    expectedWaitMillis,
    makeRefundableTokenBucket,
    makeSecondWindow,
    makeShareBudget,
    type QueueLoad,
    type RefundableTokenBucket,
    type SecondWindow,
    type ShareBudget
} from "./EndivebridgeAdmission";
export {
    type AssignedServer,
    Assignment,
    type AssignmentMember,
    type AssignmentRow,
    claimSlots,
    emptyAssignment,
    expelMember,
    heldSlots,
    joinAssignment,
    leaveAssignment,
    type ListedServer,
    type OwnershipPlan,
    planOwnership,
    reconcileServers,
    refuteSuspicion,
    releaseSlots,
    type SlotChange,
    suspectMember,
    unownedSlots
} from "./EndivebridgeAssignment";
export { type ByteWindow, makeByteWindow } from "./EndivebridgeByteWindow";
export { type ClientBlock, type ClientBlocks, makeClientBlocks, parseAddress } from "./EndivebridgeClientBlocks";
export { compareEventTimes, type EventClock, type EventTime, makeEventClock } from "./EndivebridgeClock";
export {
    type Crash,
    type CrashRecords,
    type CrashReport,
    makeCrashRecords,
    type QuarantinedRequest
} from "./EndivebridgeCrashRecords";
export { DecisionStep } from "./EndivebridgeDecision";
export { type DrainProgress, drainProgress, type DrainState, makeRateMeter, type RateMeter } from "./EndivebridgeDrain";
export {
    type ErrorAnswer,
    errorAnswers,
    type ErrorKind,
    parseErrorKind,
    type Ran,
    type SteeringError,
    steeringError
} from "./EndivebridgeErrors";
export {
    isMostlyLate,
    lateMedianMultiple,
    makeServerHealth,
    rampedSlots,
    recordLateAnswer,
    recordProbeSent,
    recordTimelyAnswer,
    type ServerHealth
} from "./EndivebridgeHealth";
export {
    type EndedOperation,
    type Journal,
    type JournalOptions,
    makeJournal,
    type OperationEntry,
    type OperationOutcome
} from "./EndivebridgeJournal";
export { makeServerLatency, medianLatencyMillis, recordLatency, type ServerLatency } from "./EndivebridgeLatency";
export { type Lease, type LeaseEvidence, makeLease } from "./EndivebridgeLease";
export { type Hash, type LookupCandidate, type LookupRequest, orderInstances } from "./EndivebridgeLookup";
export { type LostSend, type LostSendCause, recordLostSend } from "./EndivebridgeLostSend";
export { formatOperationPrefix, type OperationId, parseOperationId } from "./EndivebridgeOperation";
export { choosePeers, type PeerCandidate, peersPerOtherDomain } from "./EndivebridgePeers";
export { makeQuantileEstimator, type QuantileEstimator } from "./EndivebridgeQuantileEstimator";
export { makeServiceReachability, type ServiceReachability } from "./EndivebridgeReachability";
export { apportion, type DelayedIncreaseShare, makeDelayedIncreaseShare } from "./EndivebridgeShare";
export {
    type HeldSlot,
    makeSlotPool,
    type OwnedServer,
    type OwnedSlots,
    type SlotChoice,
    type SlotPool,
    type SlotPoolOptions,
    type WaitOutcome
} from "./EndivebridgeSlots";
export { pickLeastCost, type PickOptions, type ServerPicker } from "./EndivebridgeSteering";
