package io.persimmonstack.runtime.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.util.Collection;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;

/** Reads key stores and certificates and creates TLS contexts from them. */
final class KeyFiles {
    private KeyFiles() {}

    /** Returns the key manager of a PKCS #12 file; surrounding white space in the password file is ignored. */
    static X509ExtendedKeyManager keyManager(String keyStore, String passwordFile)
            throws IOException, GeneralSecurityException {
        char[] password = Files.readString(Path.of(passwordFile)).strip().toCharArray();
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(Path.of(keyStore))) {
            store.load(in, password);
        }
        KeyManagerFactory factory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        factory.init(store, password);
        return (X509ExtendedKeyManager) factory.getKeyManagers()[0];
    }

    /** Returns trust managers that trust the certificates of a PEM file and no others. */
    static TrustManager[] trustManagers(String authorities) throws IOException, GeneralSecurityException {
        KeyStore anchors = KeyStore.getInstance(KeyStore.getDefaultType());
        anchors.load(null, null);
        for (Certificate certificate : certificates(authorities)) {
            anchors.setCertificateEntry("authority-" + anchors.size(), certificate);
        }
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(anchors);
        return factory.getTrustManagers();
    }

    private static Collection<? extends Certificate> certificates(String authorities)
            throws IOException, CertificateException {
        try (InputStream in = Files.newInputStream(Path.of(authorities))) {
            Collection<? extends Certificate> found =
                    CertificateFactory.getInstance("X.509").generateCertificates(in);
            if (found.isEmpty()) {
                throw new CertificateException(
                        authorities + ": contains no certificate; expected at least one in PEM format");
            }
            return found;
        }
    }

    /** Returns a TLS context; null for the keys or the trust managers selects the JDK defaults. */
    static SSLContext context(KeyManager[] keys, TrustManager[] trust) throws GeneralSecurityException {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keys, trust, null);
        return context;
    }
}
