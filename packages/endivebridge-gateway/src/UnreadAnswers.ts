import { claimAnswerMemory, type HeldMemory, type Teardown } from "@endivebridge/shared";
import type { ServerResponse } from "node:http";
import type { EventLog } from "./EventLog";
import type { GatewayMetrics } from "./GatewayMetrics";

/** Counts the memory that answers take until their callers have read them. */
export interface UnreadAnswers {
    /**
     * Claims the memory of an answer of the given size until it is written or the returned function is called; `cut`
     * gives it up for others.
     */
    readonly add: (response: ServerResponse, bytes: number, cut: () => void) => Teardown;
}

/** Creates the count, whose claims belong to the memory for callers. */
export function makeUnreadAnswers(memory: HeldMemory, log: EventLog, metrics: GatewayMetrics): UnreadAnswers {
    return {
        add: (response, bytes, cut) =>
            claimAnswerMemory(memory, response, bytes, () => {
                metrics.unreadAnswersCut.inc();
                log.warn(
                    "unread answer",
                    { bytes, claimedBytes: memory.claimedBytes() },
                    "callers hold more than the memory limit; cutting the answer unread for longest"
                );
                cut();
            })
    };
}
