/** Reads what other routers know of servers and prompts: one JSON message over HTTP. */
import * as z from "zod/mini";
import type { FleetKnowledge, KnowledgeSource } from "../../domain/gateway/fleet-knowledge.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerClient } from "./peer-client.js";
import { parsePeerMessage, quantity, wholeNumber } from "./peer-messages.js";

export const knowledgePath = "/fleet-knowledge";
/** A starting router refuses requests until it has the answer. */
const timeoutMilliseconds = 300;
const okStatus = 200;
/** Of each kind in a message; far more than are away at a time. */
const maximumItems = 1_024;
const maximumNameLength = 200;

const start = { id: z.string().check(z.maxLength(maximumNameLength)), bornAt: wholeNumber() };
const listOf = <Item extends z.ZodMiniType>(item: Item) => z.array(item).check(z.maxLength(maximumItems));
const knowledgeSchema = z.object({
    departures: listOf(
        z.object({ ...start, heartbeats: wholeNumber(), milliseconds: quantity(), announced: z.boolean() }),
    ),
    pauses: listOf(z.object({ ...start, milliseconds: quantity() })),
    failing: listOf(z.object({ ...start, milliseconds: quantity() })),
    blocks: listOf(z.object({ part: z.string().check(z.regex(/^[0-9a-f]{1,64}$/)), milliseconds: quantity() })),
});

export function encodeKnowledge({ departures, pauses, failing, blocks }: FleetKnowledge): Buffer {
    return Buffer.from(JSON.stringify({
        departures: departures.slice(0, maximumItems),
        pauses: pauses.slice(0, maximumItems),
        failing: failing.slice(0, maximumItems),
        blocks: blocks.slice(0, maximumItems),
    }));
}

/** Throws InvalidPeerMessageError if the text is no such answer. */
export function decodeKnowledge(text: string): FleetKnowledge {
    return parsePeerMessage("knowledge of a router", knowledgeSchema, text);
}

export class HttpKnowledgeSource implements KnowledgeSource {
    constructor(private readonly client: PeerClient) {}

    async readKnowledge(router: SocketAddress): Promise<FleetKnowledge> {
        const { status, text } = await this.client.send(router, {
            method: "GET",
            path: knowledgePath,
            timeoutMilliseconds,
        });
        if (status !== okStatus) {
            throw new PeerUnreachableError(formatSocketAddress(router), `unexpected HTTP status ${status}`);
        }
        return decodeKnowledge(text);
    }
}
