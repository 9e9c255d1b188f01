export { editConfiguration, validateCommand } from "./EditConfiguration";
export { callOperator, type OperatorClientOptions, type OperatorResponse } from "./OperatorClient";
export { parseStatement } from "./ParseStatement";
export { exitCodes, runLine, type RunOptions, runStatement } from "./RunStatement";
export type { OperatorCommand, ShowQuery, Statement } from "./Statement";
