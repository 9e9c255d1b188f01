export { type HttpAnswer, type HttpCall, httpExchange, type HttpFailure } from "./HttpExchange";
export { invariant } from "./Invariant";
export { monotonicMillis } from "./MonotonicMillis";
export { mergeTeardowns, type Teardown } from "./MergeTeardowns";
export { makeState, type State } from "./State";
