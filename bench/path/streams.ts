/** Reads token streams as a caller does, through the router or directly from a backend server. */
import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { callerKey, model, routeName } from "./fixture.js";
import type { ServerAddress } from "./messages.js";

const maximumSockets = 1024;
const agent = new Agent({ connections: maximumSockets, pipelining: 1 });
const messages = [{ role: "user", content: "Summarise the contamination notes of the morning's loads." }];

/** Time to the first token of one stream, and the times between the chunks that contain its tokens. */
export interface StreamTimes {
    readonly firstTokenMilliseconds: number;
    readonly gapMilliseconds: readonly number[];
}

/** Where to request a stream, and the bytes that mark a token in its response. */
export interface StreamSource {
    readonly url: string;
    readonly tokenMarker: Buffer;
    body(tokens: number): string;
}

export function routerSource(address: string): StreamSource {
    return {
        url: `${address}/v1/chat/completions`,
        tokenMarker: Buffer.from(`"delta":{"content":`),
        body: tokens => JSON.stringify({ model: routeName, stream: true, max_tokens: tokens, messages }),
    };
}

export function directSource(server: ServerAddress): StreamSource {
    return {
        url: `${server.address}/v1/attempts`,
        tokenMarker: Buffer.from(`"type":"token"`),
        body: tokens =>
            JSON.stringify({
                attemptId: randomUUID(),
                planId: "direct",
                requestId: randomUUID(),
                model: model.name,
                modelVersion: model.version,
                stages: [{
                    backendServer: server.id,
                    address: server.address,
                    layers: { first: 0, last: model.layerTotal - 1 },
                }],
                messages,
                generated: [],
                maximumTokens: tokens,
                priority: 1,
                timeoutMilliseconds: 60_000,
            }),
    };
}

/** Counts markers in a chunk. Markers split between two chunks are missed; that is rare, as token events are small. */
function countMarkers(chunk: Buffer, marker: Buffer): number {
    let count = 0;
    for (let index = chunk.indexOf(marker); index >= 0; index = chunk.indexOf(marker, index + marker.length)) {
        count++;
    }
    return count;
}

/** Reads one stream to its end; calls `onTokens` with the number of tokens in each chunk. */
export async function readStream(
    source: StreamSource,
    tokens: number,
    onTokens: (count: number) => void = () => undefined,
): Promise<StreamTimes> {
    const startedAt = performance.now();
    const response = await request(source.url, {
        method: "POST",
        dispatcher: agent,
        headers: { "content-type": "application/json", authorization: `Bearer ${callerKey}` },
        body: source.body(tokens),
    });
    let previous: number | undefined;
    let firstTokenMilliseconds = Number.NaN;
    const gapMilliseconds: number[] = [];
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        const count = countMarkers(chunk, source.tokenMarker);
        if (count === 0) {
            continue;
        }
        const now = performance.now();
        if (previous === undefined) {
            firstTokenMilliseconds = now - startedAt;
        }
        else {
            gapMilliseconds.push(now - previous);
        }
        previous = now;
        onTokens(count);
    }
    return { firstTokenMilliseconds, gapMilliseconds };
}
