/// \file
/// TLS between the client and the server, with certificates made on the spot.

#define BOOST_TEST_MODULE Tls
#include <boost/test/unit_test.hpp>

#include "Loop.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

using namespace balsamlatch;
using namespace balsamlatch::test;

namespace {

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

File openFile(const std::string &Path) {
  return {std::fopen(Path.c_str(), "wb"), &std::fclose};
}

/// A folder with a self-signed certificate for one IP number.
class Identity {
public:
  explicit Identity(const std::string &Ip)
      : Folder(std::filesystem::temp_directory_path() /
               ("balsamlatch-tls-" + std::to_string(::getpid()) + "-" + Ip)) {
    std::filesystem::create_directories(Folder);
    const Key Private(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const Certificate Public(X509_new(), &X509_free);
    X509_set_version(Public.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(Public.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(Public.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(Public.get()), 3600);
    X509_set_pubkey(Public.get(), Private.get());
    X509_NAME *Name = X509_get_subject_name(Public.get());
    X509_NAME_add_entry_by_txt(
        Name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>("balsamlatch test"), -1, -1, 0);
    X509_set_issuer_name(Public.get(), Name);
    X509_EXTENSION *Names = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_subject_alt_name, ("IP:" + Ip).c_str());
    X509_add_ext(Public.get(), Names, -1);
    X509_EXTENSION_free(Names);
    BOOST_REQUIRE(X509_sign(Public.get(), Private.get(), EVP_sha256()) > 0);
    PEM_write_X509(openFile(certificate()).get(), Public.get());
    PEM_write_PrivateKey(openFile(privateKey()).get(), Private.get(), nullptr,
                         nullptr, 0, nullptr, nullptr);
  }
  ~Identity() { std::filesystem::remove_all(Folder); }

  std::string certificate() const { return Folder / "certificate.pem"; }
  std::string privateKey() const { return Folder / "key.pem"; }

private:
  const std::filesystem::path Folder;
};

/// Calls a server that has one identity, trusting another.
absl::Status callWith(const Identity &Shown, const Identity &Trusted) {
  Loop On;
  http::ServerOptions Serving;
  Serving.CertificateFile = Shown.certificate();
  Serving.PrivateKeyFile = Shown.privateKey();
  http::Server Server(On.Context, Serving, [](const http::Exchange &Exchange) {
    Exchange.Respond({200, {}, Exchange.Message.Body});
  });
  BOOST_REQUIRE(Server.start().ok());
  http::ClientOptions Calling;
  Calling.AuthorityFile = Trusted.certificate();
  Calling.ConnectTimeout = Ample;
  http::Client Client(On.Context, Calling);
  absl::Status Last;
  for (const char *Body : {"first", "second"}) {
    const http::Outcome Got =
        callAndWait(On, Client, Server.port(), {"POST", "/", {}, Body, ""});
    BOOST_TEST((!Got.Status.ok() || Got.Answer.Body == Body));
    Last = Got.Status;
  }
  On.join();
  return Last;
}

} // namespace

BOOST_AUTO_TEST_CASE(ATrustedServerIsCalled) {
  const Identity Own("127.0.0.1");
  BOOST_TEST(callWith(Own, Own).ok());
}

BOOST_AUTO_TEST_CASE(AnUntrustedServerIsSentNothing) {
  const Identity Own("127.0.0.1");
  const Identity Other("127.0.0.2");
  BOOST_TEST(absl::IsUnavailable(callWith(Own, Other)));
}

BOOST_AUTO_TEST_CASE(ACertificateForAnotherAddressIsRefused) {
  const Identity Other("127.0.0.2");
  BOOST_TEST(absl::IsUnavailable(callWith(Other, Other)));
}

BOOST_AUTO_TEST_CASE(AMissingCertificateFailsTheStart) {
  Loop On;
  http::ServerOptions Options;
  Options.CertificateFile = "/nonexistent.pem";
  http::Server Server(On.Context, Options, [](const http::Exchange &) {});
  const absl::Status Started = Server.start();
  BOOST_TEST(absl::IsInvalidArgument(Started));
  BOOST_TEST(std::string(Started.message()).find("/nonexistent.pem") !=
             std::string::npos);
  On.join();
}

BOOST_AUTO_TEST_CASE(PlainCallersOfATlsServerGetNoAnswer) {
  const Identity Own("127.0.0.1");
  Loop On;
  http::ServerOptions Options;
  Options.CertificateFile = Own.certificate();
  Options.PrivateKeyFile = Own.privateKey();
  http::Server Server(On.Context, Options, [](const http::Exchange &) {});
  BOOST_REQUIRE(Server.start().ok());
  RawCaller Caller(Server.port());
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(Caller.readAll().find("HTTP/1.1") == std::string::npos);
  On.join();
}
