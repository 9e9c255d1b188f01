import { httpExchange, monotonicMillis } from "@endivebridge/shared";
import { Effect, Result } from "effect";
import { Agent } from "node:http";
import type { Context } from "./Context";

/** Load that a backend server reports about itself; it may be outdated or wrong. */
export interface LoadReport {
    readonly inFlight: number;
    /** Requests of this instance in flight on the server when the report was requested. */
    readonly ownInFlight: number;
    readonly requestedAtMillis: number;
}

const agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: 5_000 });
const reportTimeoutMillis = 1_000;
const reportIntervalMillis = 2_000;

const fetchLoadReport = (context: Context, server: string, address: string, ownInFlight: number) =>
    Effect.gen(function*() {
        const requestedAtMillis = monotonicMillis();
        const answer = yield* httpExchange({
            url: new URL(`http://${address}/load`),
            method: "GET",
            agent,
            timeoutMillis: reportTimeoutMillis,
            maxResponseBytes: 4_096
        });
        const value = yield* Effect.try(() => JSON.parse(answer.body.toString()) as { readonly inFlight?: unknown; });
        if (typeof value.inFlight === "number") {
            context.loadReports.set(server, { inFlight: value.inFlight, ownInFlight, requestedAtMillis });
        }
    });

/** Polls the load of all backend servers on which this instance owns slots, until interrupted. */
export const loadReportTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            const ownedServers = [...context.services.values()].flatMap(service => service.pool.servers());
            const results = yield* Effect.forEach(
                ownedServers,
                ownedServer =>
                    Effect.result(
                        fetchLoadReport(context, ownedServer.server, ownedServer.address, ownedServer.inFlight)
                    ),
                { concurrency: 4 }
            );
            const failed = results.filter(Result.isFailure).length;
            if (failed > 0) {
                context.log.debug({ failed }, "load reports could not be read; keeping the previous ones");
            }
            yield* Effect.sleep(reportIntervalMillis * (0.9 + Math.random() * 0.2));
        }
    });
