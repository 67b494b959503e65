/** TLS certificates for connections between routers. The files are polled, and reloaded when their content changes. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import { CertificateError } from "../../errors/index.js";

const defaultPollMilliseconds = 10_000;

export interface CertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    /** PEM file with the certificate authorities that must have signed the peer's certificate. */
    readonly authorityFile: string;
}

/** PEM text of the certificate, its private key and the certificate authorities. */
export interface Certificates {
    readonly cert: string;
    readonly key: string;
    readonly ca: string;
}

export class CertificateSource implements ManagedComponent {
    readonly name = "peer certificates";
    private loadedCertificates: Certificates;
    private timer: ReturnType<typeof setInterval> | undefined;
    private readonly listeners = new Set<(certificates: Certificates) => void>();

    /** Throws a CertificateError if a file is unreadable or malformed, or certificate and key do not match. */
    constructor(
        private readonly files: CertificateFiles,
        private readonly logger: Logger,
        private readonly pollMilliseconds = defaultPollMilliseconds,
    ) {
        this.loadedCertificates = loadCertificates(files);
    }

    get current(): Certificates {
        return this.loadedCertificates;
    }

    /** Calls the listener after each reload that changed the certificates. Returns a function that removes it. */
    onChange(listener: (certificates: Certificates) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    async start(): Promise<void> {
        this.timer = setInterval(() => this.reload(), this.pollMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    /**
     * Reads the files again. The certificates in use are kept if the new files cannot be used, for example while only
     * one of them has been replaced.
     */
    reload(): void {
        let certificates: Certificates;
        try {
            certificates = loadCertificates(this.files);
        }
        catch (error) {
            this.logger.error("reloading the peer certificates failed; keeping those in use", { error: String(error) });
            return;
        }
        const { cert, key, ca } = this.loadedCertificates;
        if (certificates.cert !== cert || certificates.key !== key || certificates.ca !== ca) {
            this.loadedCertificates = certificates;
            this.logger.info("peer certificates changed and were reloaded");
            for (const listener of this.listeners) {
                listener(certificates);
            }
        }
    }
}

function loadCertificates(files: CertificateFiles): Certificates {
    try {
        const certificates = {
            cert: readFileSync(files.certificateFile, "utf8"),
            key: readFileSync(files.keyFile, "utf8"),
            ca: readFileSync(files.authorityFile, "utf8"),
        };
        createSecureContext(certificates);
        return certificates;
    }
    catch (error) {
        throw new CertificateError(error);
    }
}
