/** RPC server for calls from other routers: connect-es over HTTP/2, with mutual TLS if certificates are configured. */
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
import { decodeFleetState, decodeGossip, encodeFleetState, encodeGossip, encodeStoredVersion } from "./codec.js";

/** Largest message accepted; enough for the fleet state of a few thousand members, or for one sheet. */
const maximumMessageBytes = 4_000_000;

/** Executes a booking ledger operation on this router without forwarding it to another one. */
export type BookingHandler = (operation: LedgerOperation, timeoutMilliseconds: number) => Promise<LedgerResult>;

/** Time that calls in flight have to finish before their connections are destroyed. */
const closeTimeoutMilliseconds = 500;

export interface PeerServerOptions {
    readonly host: string;
    /** TCP port; 0 selects any free port. */
    readonly port: number;
    readonly certificates?: CertificateSource;
}

export class PeerServer implements ManagedComponent {
    readonly name = "peer server";
    private readonly server: Http2Server | Http2SecureServer;
    private readonly sessions = new Set<ServerHttp2Session>();
    private handler: PeerHandler | undefined;
    private bookingHandler: BookingHandler | undefined;
    private removeCertificateListener: () => void = () => undefined;

    /** Throws a PeerPlaintextError if there are no certificates and the host is not a loopback address. */
    constructor(private readonly options: PeerServerOptions) {
        const { certificates, host } = options;
        if (certificates === undefined && !isLoopback(host)) {
            throw new PeerPlaintextError(host);
        }
        const listener = this.createRequestListener();
        this.server = certificates === undefined
            ? createServer(listener)
            : createSecureServer({ ...certificates.current, requestCert: true, rejectUnauthorized: true }, listener);
        this.server.on("session", (session: ServerHttp2Session) => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
            session.on("error", () => session.destroy());
        });
    }

    /** Sets the handler of incoming calls. Until it is set, the stream of every call is closed without a response. */
    setPeerHandler(handler: PeerHandler): void {
        this.handler = handler;
    }

    /** Sets the handler of booking ledger operations. Until it is set, they are answered with `Unavailable`. */
    setBookingHandler(handler: BookingHandler): void {
        this.bookingHandler = handler;
    }

    /** Starts listening. Called before the membership is created, which needs the address. */
    async start(): Promise<void> {
        const { host, port, certificates } = this.options;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        this.removeCertificateListener = certificates?.onChange(changed => {
            (this.server as Http2SecureServer).setSecureContext(changed);
        }) ?? this.removeCertificateListener;
    }

    async stop(): Promise<void> {
        this.removeCertificateListener();
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        // Destroying a session with open streams can corrupt memory in Node 20, so sessions are closed first.
        this.sessions.forEach(session => session.close());
        await Promise.race([closed, delay(closeTimeoutMilliseconds)]);
        this.sessions.forEach(session => session.destroy());
        await closed;
    }

    /** Base URL with the actual port; valid after `start`. */
    get address(): string {
        const { certificates, host } = this.options;
        const { port } = this.server.address() as AddressInfo;
        const scheme = certificates === undefined ? "http" : "https";
        return `${scheme}://${isIPv4(host) ? host : `[${host}]`}:${port}`;
    }

    private createRequestListener(): (request: Http2ServerRequest, response: Http2ServerResponse) => void {
        const adapter = connectNodeAdapter({
            routes: router => this.addRoutes(router),
            grpc: false,
            grpcWeb: false,
            acceptCompression: [],
            readMaxBytes: maximumMessageBytes,
        });
        return (request, response) => {
            // A date header would be larger than the smallest response body.
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
            exchange: state => encodeFleetState(this.handler!.exchange(decodeFleetState(state))),
            readVersion: request => {
                const stored = this.handler!.readVersion(request.minimumVersion);
                return stored === undefined ? {} : { stored: encodeStoredVersion(stored) };
            },
            submitBooking: async ({ operationJson, timeoutMilliseconds }) => {
                if (this.bookingHandler === undefined) {
                    throw new ConnectError("This router has no booking ledger.", Code.Unavailable);
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
