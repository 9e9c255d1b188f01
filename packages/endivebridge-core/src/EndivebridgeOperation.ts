import { type Either, Left, Right } from "purify-ts";
import { type SteeringError, steeringError } from "./EndivebridgeErrors";

/** An operation id: its prefix names the owner, the caller appends the counter. */
export interface OperationId {
    readonly instance: string;
    readonly incarnation: string;
    readonly mintEpoch: number;
    readonly random: string;
    readonly counter: string;
}

const idPattern = /^([a-z0-9][a-z0-9-]{0,62})\.([a-z0-9]{1,32})\.(\d{1,9})\.([a-z0-9]{1,32})\.([A-Za-z0-9]{1,32})$/;

/** Parses an operation id received from a caller. */
export function parseOperationId(text: string): Either<SteeringError, OperationId> {
    const match = idPattern.exec(text) ?? undefined;
    if (match === undefined) {
        return Left(steeringError("badRequest", "the operation id is not one of ours"));
    }
    const [, instance = "", incarnation = "", mintEpoch = "", random = "", counter = ""] = match;
    return Right({ instance, incarnation, mintEpoch: Number(mintEpoch), random, counter });
}

/** Formats the operation id prefix that a look-up response contains. */
export function formatOperationPrefix(id: Omit<OperationId, "counter">): string {
    return `${id.instance}.${id.incarnation}.${id.mintEpoch}.${id.random}`;
}
