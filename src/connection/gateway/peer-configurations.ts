/** Reads the configurations of other routers: JSON over HTTP, with the published value encoded as base64. */
import * as z from "zod/mini";
import type { ConfigurationSource, PeerConfiguration } from "../../domain/gateway/configuration-source.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerClient } from "./peer-client.js";
import { parsePeerMessage, quantity } from "./peer-messages.js";

export const configurationPath = "/configuration";
export const afterVersionParameter = "after";
/** A starting router refuses requests until it has its answers. */
const timeoutMilliseconds = 300;
const okStatus = 200;

const configurationSchema = z.object({ configuration: z.optional(z.string()), runningMilliseconds: quantity() });

export function encodePeerConfiguration({ encoded, runningMilliseconds }: PeerConfiguration): Buffer {
    return Buffer.from(JSON.stringify({ configuration: encoded?.toString("base64"), runningMilliseconds }));
}

/** Throws InvalidPeerMessageError if the text is no such answer. */
export function decodePeerConfiguration(text: string): PeerConfiguration {
    const { configuration, runningMilliseconds } = parsePeerMessage("configuration", configurationSchema, text);
    return {
        encoded: configuration === undefined ? undefined : Buffer.from(configuration, "base64"),
        runningMilliseconds,
    };
}

export class HttpConfigurationSource implements ConfigurationSource {
    constructor(private readonly client: PeerClient) {}

    async readConfiguration(router: SocketAddress, afterVersion: number): Promise<PeerConfiguration> {
        const { status, text } = await this.client.send(router, {
            method: "GET",
            path: `${configurationPath}?${afterVersionParameter}=${afterVersion}`,
            timeoutMilliseconds,
        });
        if (status !== okStatus) {
            throw new PeerUnreachableError(formatSocketAddress(router), `unexpected HTTP status ${status}`);
        }
        return decodePeerConfiguration(text);
    }
}
