import { type SteeringError, steeringError } from "@endivebridge/core";
import { Effect } from "effect";
import type { Context } from "./Context";
import { runKeyedOperation, runOwnedOperation } from "./Operations";
import { runRequest } from "./RunRequest";
import type { Answer, SteeringRequest } from "./SteeringRequest";

/**
 * Serves one request of a caller. An idempotent request runs directly; any other is deduplicated by its operation id or
 * idempotency key.
 */
export function serveRequest(context: Context, request: SteeringRequest): Effect.Effect<Answer, SteeringError> {
    const service = context.services.get(request.service);
    if (service === undefined) {
        return Effect.fail(steeringError("noServers", request.service));
    }
    service.requestRates.count(request.sourceRegion);
    if (request.idempotent) {
        return runRequest(context, service, request);
    }
    if (request.operation !== undefined) {
        return runOwnedOperation(context, request, request.operation, () => runRequest(context, service, request));
    }
    if (request.idempotencyKey !== undefined) {
        return runKeyedOperation(context, request, request.idempotencyKey, () => runRequest(context, service, request));
    }
    return Effect.fail(steeringError("operationRequired"));
}
