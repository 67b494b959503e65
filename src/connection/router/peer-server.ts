/** Answers other routers: connect-es over HTTP/2, with mutual TLS when there are certificates. */
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
    createSecureServer,
    createServer,
    type Http2SecureServer,
    type Http2Server,
    type Http2ServerRequest,
    type Http2ServerResponse,
    type ServerHttp2Session,
} from "node:http2";
import { type AddressInfo, isIPv4 } from "node:net";
import { delay } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { LedgerOperation, LedgerResult } from "../../domain/booking-ledger.js";
import { PeerPlaintextError } from "../../errors/index.js";
import * as wire from "../../generated/pomelostall/peer/v1/peer_pb.js";
import type { PeerHandler } from "../../process/membership/index.js";
import type { CertificateSource } from "./certificates.js";
import { decodeGossip, decodeState, encodeGossip, encodeState, encodeStored } from "./codec.js";

/** Largest message that is read; a full state of a few thousand members, or one sheet. */
const maximumMessageBytes = 4_000_000;

/** Carries out an operation of the booking ledger here, without handing it on. */
export type BookingHandler = (operation: LedgerOperation, timeoutMilliseconds: number) => Promise<LedgerResult>;

/** Time in which calls under way may end before their connections are cut. */
const closeTimeoutMilliseconds = 500;

export interface PeerServerOptions {
    readonly host: string;
    /** 0 takes any free port. */
    readonly port: number;
    readonly certificates?: CertificateSource;
}

export class PeerServer implements ManagedComponent {
    readonly name = "peer server";
    private readonly server: Http2Server | Http2SecureServer;
    private readonly sessions = new Set<ServerHttp2Session>();
    private handler: PeerHandler | undefined;
    private bookingHandler: BookingHandler | undefined;
    private removeListener: () => void = () => undefined;

    /** Throws a PeerPlaintextError without certificates on an address other than loopback. */
    constructor(private readonly options: PeerServerOptions) {
        const { certificates, host } = options;
        if (certificates === undefined && !isLoopback(host)) {
            throw new PeerPlaintextError(host);
        }
        const listener = this.createListener();
        this.server = certificates === undefined
            ? createServer(listener)
            : createSecureServer({ ...certificates.current, requestCert: true, rejectUnauthorized: true }, listener);
        this.server.on("session", (session: ServerHttp2Session) => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
            session.on("error", () => session.destroy());
        });
    }

    /** Sets who answers. Until then every call is refused. */
    setPeerHandler(handler: PeerHandler): void {
        this.handler = handler;
    }

    /** Sets who carries out operations of the booking ledger that other routers hand over. */
    setBookingHandler(handler: BookingHandler): void {
        this.bookingHandler = handler;
    }

    /** Listens, so that the address is known before membership is made. */
    async start(): Promise<void> {
        const { host, port, certificates } = this.options;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        this.removeListener = certificates?.onChange(changed => {
            (this.server as Http2SecureServer).setSecureContext(changed);
        }) ?? this.removeListener;
    }

    async stop(): Promise<void> {
        this.removeListener();
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        // A session that is destroyed while it still has streams can corrupt the memory of Node 20, so it is closed first.
        this.sessions.forEach(session => session.close());
        await Promise.race([closed, delay(closeTimeoutMilliseconds)]);
        this.sessions.forEach(session => session.destroy());
        await closed;
    }

    get address(): string {
        const { certificates, host } = this.options;
        const { port } = this.server.address() as AddressInfo;
        const scheme = certificates === undefined ? "http" : "https";
        return `${scheme}://${isIPv4(host) ? host : `[${host}]`}:${port}`;
    }

    private createListener(): (request: Http2ServerRequest, response: Http2ServerResponse) => void {
        const adapter = connectNodeAdapter({
            routes: router => this.addRoutes(router),
            grpc: false,
            grpcWeb: false,
            acceptCompression: [],
            readMaxBytes: maximumMessageBytes,
        });
        return (request, response) => {
            // A date in each answer would cost more than its smallest content.
            response.sendDate = false;
            if (this.handler === undefined) {
                response.stream.close();
                return;
            }
            adapter(request, response);
        };
    }

    private addRoutes(router: ConnectRouter): void {
        router.service(wire.PeerService, {
            gossip: message => encodeGossip(this.handler!.gossip(decodeGossip(message))),
            probeIndirectly: async request => {
                const target = { id: request.targetId, address: request.targetAddress };
                return { reached: await this.handler!.probeIndirectly(target) };
            },
            exchange: state => encodeState(this.handler!.exchange(decodeState(state))),
            readVersion: request => {
                const stored = this.handler!.readVersion(request.minimumVersion);
                return stored === undefined ? {} : { stored: encodeStored(stored) };
            },
            submitBooking: async ({ operationJson, timeoutMilliseconds }) => {
                if (this.bookingHandler === undefined) {
                    throw new ConnectError("This router keeps no booking ledger.", Code.Unavailable);
                }
                const operation = JSON.parse(operationJson) as LedgerOperation;
                return { resultJson: JSON.stringify(await this.bookingHandler(operation, timeoutMilliseconds)) };
            },
        });
    }
}

function isLoopback(host: string): boolean {
    return host === "localhost" || host === "::1" || host.startsWith("127.");
}
