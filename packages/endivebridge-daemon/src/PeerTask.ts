import { choosePeers } from "@endivebridge/core";
import type { ListedEntryInstance } from "@endivebridge/platform";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect, Fiber, Result } from "effect";
import { applyConfiguration } from "./ConfigurationTask";
import type { Context } from "./Context";
import { makeHeartbeat, recordPeerState } from "./Heartbeat";
import { heartbeatIntervalMillis } from "./HeartbeatInterval";
import { leaseMillis } from "./LeaseMillis";
import { lookupHash } from "./LookupHash";
import { makePeer, type Peer } from "./Peer";

function intervalMillisTo(context: Context, peer: Peer): number {
    const peers = [...context.peers.values()];
    const siblings = peers.filter(candidate => candidate.failureDomain === context.settings.failureDomain).length;
    return heartbeatIntervalMillis(
        context.settings.timing.heartbeatMillis,
        siblings,
        peers.length - siblings,
        peer.failureDomain === context.settings.failureDomain
    );
}

const fetchConfiguration = (context: Context, peer: Peer) =>
    Effect.gen(function*() {
        const configuration = yield* Effect.promise(() => peer.client.readConfiguration({}, { timeoutMs: 2_000 }));
        applyConfiguration(context, configuration.version, configuration.text, peer.instance);
    });

const sendHeartbeat = (context: Context, peer: Peer) =>
    Effect.gen(function*() {
        const sentAtMillis = monotonicMillis();
        const timeoutMs = Math.max(250, Math.min(2_000, leaseMillis(context) / 2));
        const answer = yield* Effect.tryPromise(signal =>
            peer.client.heartbeat(makeHeartbeat(context), { signal, timeoutMs })
        );
        peer.failing = false;
        recordPeerState(context, peer, answer);
        if (answer.leaseMillis > 0 && answer.assignmentVersion <= BigInt(context.assignment.read()?.version ?? 0)) {
            context.lease.confirmBySibling(peer.instance, sentAtMillis, answer.leaseMillis);
        }
        if (answer.configurationVersion > (context.configuration.read()?.version ?? 0)) {
            yield* fetchConfiguration(context, peer);
        }
    });

function markFailing(context: Context, peer: Peer): void {
    if (!peer.failing && peer.incarnation !== "") {
        context.timeLine.emit({ kind: "peerSilent", peer: peer.instance });
    }
    peer.failing = true;
}

/** Sends heartbeats to one peer until interrupted. */
export const peerTask = (context: Context, peer: Peer): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            const result = yield* Effect.result(
                Effect.catchCause(sendHeartbeat(context, peer), () => Effect.fail("failed"))
            );
            if (Result.isFailure(result)) {
                // Reconnecting aborts all calls on the connection, so a single failed heartbeat does not cause it.
                if (peer.failing) {
                    peer.reconnect();
                }
                markFailing(context, peer);
                context.log.debug({ peer: peer.instance }, "heartbeat to peer failed; retrying at the next interval");
            }
            yield* Effect.sleep(intervalMillisTo(context, peer) * (0.9 + Math.random() * 0.2));
        }
    });

/**
 * Runs one heartbeat task per chosen peer and updates the set when the instance list changes. A peer that is missing
 * from the list is removed only if its last heartbeat failed or there never was any contact.
 */
export function registerPeerTasks(context: Context): () => void {
    const tasks = new Map<string, Fiber.Fiber<unknown, unknown>>();
    const stop = (instance: string) => {
        const fiber = tasks.get(instance);
        if (fiber !== undefined) {
            Effect.runFork(Fiber.interrupt(fiber));
        }
        context.peers.get(instance)?.close();
        context.peers.delete(instance);
        tasks.delete(instance);
    };
    const reconcile = (listed: readonly ListedEntryInstance[]) => {
        const chosen = choosePeers(context.settings, listed, lookupHash);
        const chosenByInstance = new Map(chosen.map(chosenInstance => [chosenInstance.instance, chosenInstance]));
        for (const [instance, peer] of context.peers) {
            const entry = chosenByInstance.get(instance);
            const isListed = listed.some(listedInstance => listedInstance.instance === instance);
            const isRemovable = isListed || peer.failing || peer.lastContactAtMillis === 0;
            if (entry === undefined ? isRemovable : entry.peerAddress !== peer.peerAddress) {
                stop(instance);
            }
        }
        for (const [instance, entry] of chosenByInstance) {
            if (!context.peers.has(instance)) {
                const peer = makePeer(context, entry);
                context.peers.set(instance, peer);
                tasks.set(instance, context.fork(peerTask(context, peer)));
            }
        }
    };
    reconcile(context.instances.read().entries);
    const unregister = context.instances.registerListener(snapshot => reconcile(snapshot.entries));
    return () => {
        unregister();
        [...tasks.keys()].forEach(stop);
    };
}
