export { orderEvents, renderHtml, renderText, type TracedEvent, type TraceFilter } from "./TimeLine";
