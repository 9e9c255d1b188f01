export { type DecisionDifference, parseDecisionSteps, type ReplayResult, replaySteps } from "./Replay";
export { type LoggedEvent, parseLog, renderTrace, type TraceLine, traceRequest } from "./RequestTrace";
export { filterAndSortEvents, renderHtml, renderText, type TracedEvent, type TraceFilter } from "./TimeLine";
