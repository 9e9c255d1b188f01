export { isConnectionHeader } from "./ConnectionHeaders";
export { httpExchange, type HttpFailure, type HttpRequestOptions, type HttpResponse } from "./HttpExchange";
export { invariant } from "./Invariant";
export { limitBytesWithoutProgress, type ProgressLimit } from "./LimitBytesWithoutProgress";
export { mergeTeardowns, type Teardown } from "./MergeTeardowns";
export { monotonicMillis } from "./MonotonicMillis";
export { range } from "./Range";
export { makeState, type State } from "./State";
export { startTransferTimer, type TransferTimeouts, type TransferTimer } from "./TransferTimer";
