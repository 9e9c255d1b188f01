export { type Difference, readSteps, replay, type ReplayOutcome } from "./Replay";
export { orderEvents, renderHtml, renderText, type TracedEvent, type TraceFilter } from "./TimeLine";
