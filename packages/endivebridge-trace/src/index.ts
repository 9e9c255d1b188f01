export { type Difference, readSteps, replay, type ReplayOutcome } from "./Replay";
export { type LoggedEvent, readLog, renderTrace, type TracedLine, traceRequest } from "./RequestTrace";
export { orderEvents, renderHtml, renderText, type TracedEvent, type TraceFilter } from "./TimeLine";
