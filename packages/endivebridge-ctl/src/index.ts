export { commandFault, editConfiguration } from "./EditConfiguration";
export { callOperator, type OperatorAnswer, type OperatorClientOptions } from "./OperatorClient";
export { parseStatement } from "./ParseStatement";
export { exitCodes, runLine, type RunOptions, runStatement } from "./RunStatement";
export type { OperatorCommand, ShowQuery, Statement } from "./Statement";
