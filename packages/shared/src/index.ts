export { isConnectionHeader } from "./ConnectionHeaders";
export { type HttpAnswer, type HttpCall, httpExchange, type HttpFailure } from "./HttpExchange";
export { invariant } from "./Invariant";
export { mergeTeardowns, type Teardown } from "./MergeTeardowns";
export { monotonicMillis } from "./MonotonicMillis";
export { range } from "./Range";
export { makeState, type State } from "./State";
