export type { Dialect, ServerLoad } from "./Dialect";
export type { Directory } from "./Directory";
export { type EventLog, type LogFields, makeEventLog } from "./EventLog";
export { finalAnswers } from "./FinalAnswers";
export { type Gateway, type GatewaySettings, startGateway } from "./Gateway";
export { type GatewayMetrics, makeGatewayMetrics } from "./GatewayMetrics";
export { type LineWriter, makeLineWriter, writeToStandardOutput } from "./LineWriter";
export type { TableConfirmation } from "./TableVersions";
